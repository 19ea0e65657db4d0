/*
 * Copyright (C) 2026 The landingtrack authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 * http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.landingtrack.internal.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import org.landingtrack.internal.catalog.Service;

/**
 * A checked request for a model service.
 *
 * @param prompt all of the messages as one text, for the content keys
 * @param noRepeat true if it must run at most once
 * @param keyHash hash of team and request key; empty if there is none
 * @param weight the team's weight with its priority
 * @param deadlineMs monotonic time by which the first token must come
 */
public record ModelRequest(
    String id,
    String team,
    String serviceName,
    Service service,
    JsonNode messages,
    String prompt,
    int maxTokens,
    int priority,
    double weight,
    boolean noRepeat,
    String keyHash,
    long deadlineMs) {}
