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
package org.landingtrack.internal.platform;

import java.util.random.RandomGenerator;

/**
 * Computes the delays between retries: exponential backoff with full jitter. Not thread-safe; each
 * retry loop has its own instance.
 */
public final class Backoff {
  private static final int MAX_DOUBLINGS = 20;

  private final RandomGenerator random;
  private final long firstMs;
  private final long maxMs;
  private int failures;

  /**
   * Creates a backoff without failures.
   *
   * @param firstMs longest delay after the first failure; it doubles with each further failure
   * @param maxMs upper limit of the longest delay
   */
  public Backoff(RandomGenerator random, long firstMs, long maxMs) {
    if (firstMs < 1 || maxMs < firstMs) {
      throw new IllegalArgumentException(
          "backoff needs 1 <= firstMs <= maxMs, not " + firstMs + ", " + maxMs);
    }
    this.random = random;
    this.firstMs = firstMs;
    this.maxMs = maxMs;
  }

  /** Counts one more failure and returns the delay before the next attempt, at least 1 ms. */
  public long nextMs() {
    long limitMs = Math.min(maxMs, firstMs << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    return 1 + random.nextLong(limitMs);
  }

  /** Resets the failure count after a success, so that delays start short again. */
  public void reset() {
    failures = 0;
  }
}
