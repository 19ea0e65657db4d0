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
package org.landingtrack.internal.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * One attempt to run a completion on a model engine.
 *
 * @param attemptId id that every chunk of the answer must carry
 * @param messages the caller's messages, unchanged
 * @param weightVersion version of the weights that the engine must have loaded; it refuses
 *     otherwise
 * @param cacheKeys content hashes of the prompt's blocks, for the prefix cache
 * @param resumeOffset number of tokens that the caller already has; the stream starts after them
 * @param firstTokenDeadlineMs deadline of the first token, on the monotonic clock {@code Ticker}
 * @param idleTimeoutMs longest time without data within the answer, in milliseconds
 */
public record CompletionCall(
    String attemptId,
    String model,
    JsonNode messages,
    int maxTokens,
    String weightVersion,
    List<String> cacheKeys,
    int priority,
    int resumeOffset,
    long firstTokenDeadlineMs,
    long idleTimeoutMs) {}
