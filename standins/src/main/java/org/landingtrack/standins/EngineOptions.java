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
 * Settings of an {@link EngineServer}.
 *
 * @param cacheBlocks capacity of its prefix cache in blocks
 * @param prefillMsPerToken prefill time per prompt token; prompts are computed one after another
 * @param decodeMs time between the tokens of an answer
 * @param maxConcurrent maximum number of requests in its batch
 * @param maxQueued maximum number of requests that wait for the batch
 * @param checksFences whether it rejects orders with a stale epoch
 * @param kvBytesPerToken size of the KV cache of one token
 * @param loadMs duration of a weight load while at most three run at once
 * @param weightVersion version of the weights that it starts with
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

  /** Returns settings of a fast engine with a small cache, for tests. */
  public static EngineOptions forTests(String weightVersion) {
    return new EngineOptions(64, 0.01, 1, 4, 16, true, 1_000, 200, weightVersion);
  }

  /** Returns a copy of these settings without the check for stale epochs. */
  public EngineOptions withoutFencing() {
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

  /** Returns a copy of these settings with another time between tokens. */
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
