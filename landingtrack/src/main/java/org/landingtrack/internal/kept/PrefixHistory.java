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
 * How a prompt's group came back so far. Immutable.
 *
 * @param visits requests seen
 * @param lastMs when the last one came, on the monotonic clock
 * @param gapMs smoothed time between them; 0 before the second
 * @param lastChain keys of the last prompt
 * @param returningBlocks blocks that the last two prompts shared
 */
public record PrefixHistory(
    String service,
    int visits,
    long lastMs,
    double gapMs,
    List<String> lastChain,
    int returningBlocks) {
  private static final double SMOOTHING = 0.3;

  /** Returns the history of a group at its first request. */
  public static PrefixHistory first(String service, List<String> chain, long nowMs) {
    return new PrefixHistory(service, 1, nowMs, 0, List.copyOf(chain), 0);
  }

  /** Returns the history after one more request. */
  public PrefixHistory visited(List<String> chain, long nowMs) {
    int common = 0;
    int limit = Math.min(chain.size(), lastChain.size());
    while (common < limit && chain.get(common).equals(lastChain.get(common))) {
      common++;
    }
    double gap = nowMs - lastMs;
    double smoothed = visits == 1 ? gap : gapMs + SMOOTHING * (gap - gapMs);
    return new PrefixHistory(service, visits + 1, nowMs, smoothed, List.copyOf(chain), common);
  }
}
