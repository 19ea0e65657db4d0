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
package org.landingtrack.internal.overload;

/**
 * Chooses the retry delay of refused callers, so that callers that were refused together do not
 * retry at the same time. Stateless.
 */
final class RetryAfterPolicy {
  /** Callers are expected to heed a retry delay of up to this share of their remaining time. */
  private static final double MAX_DELAY_SHARE = 0.33;

  /** While the overload grows, the most urgent rank gets this share of the longest delay. */
  private static final double MOST_URGENT_DELAY_SHARE = 0.6;

  /**
   * The delays of one rank are spread over this share of their length. The backlog of a burst of
   * some seconds needs more capacity than first attempts leave in a moment.
   */
  private static final double JITTER_SHARE = 0.5;

  /**
   * Added to the estimated wait, so that shorter waits are not relied on: load reports are up to
   * this old.
   */
  private static final long MIN_WAIT_MS = 300;

  private RetryAfterPolicy() {}

  /**
   * Returns the delay after which a refused caller should retry, in milliseconds.
   *
   * @param rank the priority rank of the request
   * @param waitMs the time until the request would start if it waited
   * @param isGrowing true if requests arrive faster than servers start them, so that the end of the
   *     overload cannot be foreseen
   * @param leftMs the caller's remaining time
   * @param spread the caller's position within the spread, from 0 to 1
   */
  static long retryAfterMs(int rank, double waitMs, boolean isGrowing, long leftMs, double spread) {
    double maxDelayMs = leftMs * MAX_DELAY_SHARE;
    double rankFraction = (double) rank / (Demand.RANKS - 1);
    double baseDelayMs =
        isGrowing
            ? maxDelayMs * (MOST_URGENT_DELAY_SHARE + (1 - MOST_URGENT_DELAY_SHARE) * rankFraction)
            : (MIN_WAIT_MS + waitMs) * (1 + rankFraction);
    double spreadDelayMs =
        baseDelayMs * (isGrowing ? 1 - JITTER_SHARE * spread : 1 + JITTER_SHARE * spread);
    double minDelayMs = Math.min(maxDelayMs, RetryDetector.MIN_RETRY_DELAY_MS);
    return Math.max(1, (long) Math.min(maxDelayMs, Math.max(minDelayMs, spreadDelayMs)));
  }
}
