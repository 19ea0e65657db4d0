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
package org.landingtrack.internal.kept;

import java.util.List;

/**
 * The request history of a group, that is, of all prompts with the same first block. Immutable.
 *
 * @param service name of the service
 * @param requests number of requests
 * @param lastRequestMs time of the last request, in milliseconds of the monotonic clock
 * @param intervalMs smoothed interval between requests, in milliseconds; 0 before the second
 *     request
 * @param lastChain block keys of the last prompt, in order
 * @param sharedBlocks number of leading blocks that the last two prompts share
 */
public record PrefixHistory(
    String service,
    int requests,
    long lastRequestMs,
    double intervalMs,
    List<String> lastChain,
    int sharedBlocks) {
  private static final double SMOOTHING = 0.3;

  /** Creates the history of a group at its first request. */
  public static PrefixHistory ofFirstRequest(String service, List<String> chain, long nowMs) {
    return new PrefixHistory(service, 1, nowMs, 0, List.copyOf(chain), 0);
  }

  /** Returns the history after one more request. */
  public PrefixHistory afterRequest(List<String> chain, long nowMs) {
    int shared = 0;
    int limit = Math.min(chain.size(), lastChain.size());
    while (shared < limit && chain.get(shared).equals(lastChain.get(shared))) {
      shared++;
    }
    double interval = nowMs - lastRequestMs;
    double smoothed = requests == 1 ? interval : intervalMs + SMOOTHING * (interval - intervalMs);
    return new PrefixHistory(service, requests + 1, nowMs, smoothed, List.copyOf(chain), shared);
  }
}
