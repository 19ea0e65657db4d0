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
package org.landingtrack.standins;

/**
 * What an engine is like.
 *
 * @param cacheBlocks blocks that its prefix cache holds
 * @param prefillMsPerToken time to compute a prompt token; prompts are computed one after another
 * @param decodeMs time between tokens of an answer
 * @param maxConcurrent requests in its batch
 * @param maxQueued requests that wait for a place
 * @param checksFences whether it refuses orders with an old epoch
 * @param kvBytesPerToken size of a token's state
 * @param loadMs time of a weight load when at most three run at once
 */
public record EngineOptions(
    int cacheBlocks,
    double prefillMsPerToken,
    double decodeMs,
    int maxConcurrent,
    int maxQueued,
    boolean checksFences,
    int kvBytesPerToken,
    long loadMs,
    String weightVersion) {

  /** Returns an engine for tests: fast and small. */
  public static EngineOptions small(String weightVersion) {
    return new EngineOptions(64, 0.01, 1, 4, 16, true, 1_000, 200, weightVersion);
  }

  /** Returns a copy that does not check fences. */
  public EngineOptions withoutFences() {
    return new EngineOptions(
        cacheBlocks,
        prefillMsPerToken,
        decodeMs,
        maxConcurrent,
        maxQueued,
        false,
        kvBytesPerToken,
        loadMs,
        weightVersion);
  }

  /** Returns a copy with another time between tokens. */
  public EngineOptions withDecodeMs(double newDecodeMs) {
    return new EngineOptions(
        cacheBlocks,
        prefillMsPerToken,
        newDecodeMs,
        maxConcurrent,
        maxQueued,
        checksFences,
        kvBytesPerToken,
        loadMs,
        weightVersion);
  }
}
