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

import org.landingtrack.internal.engine.Usage;

/**
 * Describes how the complete answer to a model request was produced.
 *
 * @param server name of the backend server that completed the answer
 * @param weightVersion version of the weights that produced it
 * @param ttftMs time in milliseconds from the arrival of the request to its first token
 * @param attempts number of attempts; refusals that only reported another weight version or loading
 *     weights do not count
 */
public record DispatchReport(
    String server, String weightVersion, Usage usage, double ttftMs, int attempts) {}
