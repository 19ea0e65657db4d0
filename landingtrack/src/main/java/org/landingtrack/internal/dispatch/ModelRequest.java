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
 * A validated request to a model service.
 *
 * @param prompt all messages as one text, from which the block keys are computed
 * @param priority the request's priority, passed on to the engine
 * @param weight weight in the fair queue, from the team's weight and the priority
 * @param noRepeat true if the request must run at most once
 * @param keyHash hash of the team and the request key; empty if the request has no key
 * @param deadlineMs time on the monotonic clock by which the first token must arrive
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
