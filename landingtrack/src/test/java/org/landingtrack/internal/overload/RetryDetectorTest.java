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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how retries are distinguished from first attempts, and which retry delays callers get. */
public final class RetryDetectorTest {
  private static final long FULL_MS = 3_000;

  @Test
  public void aShorterDeadlineMeansARetry() {
    RetryDetector callers = new RetryDetector();
    assertFalse(callers.isRetry(FULL_MS, true, 0));
    assertTrue(callers.isRetry(FULL_MS - 300, true, 10));
    assertFalse(callers.isRetry(FULL_MS - 100, true, 20));
  }

  @Test
  public void aRequestWithoutDeadlineIsAFirstAttempt() {
    RetryDetector callers = new RetryDetector();
    assertFalse(callers.isRetry(FULL_MS, true, 0));
    assertFalse(callers.isRetry(0, true, 10));
  }

  /**
   * On such a route a short deadline must not count as a retry: callers with short deadlines would
   * always go before others.
   */
  @Test
  public void noRetriesAreDetectedWhereDeadlinesDiffer() {
    RetryDetector callers = new RetryDetector();
    for (int i = 0; i < 100; i++) {
      callers.isRetry(i % 2 == 0 ? FULL_MS : FULL_MS / 2, false, i);
    }
    assertFalse(callers.isRetry(FULL_MS / 2, true, 200));
  }

  /** Retries after an overload must not make a route count as one whose deadlines differ. */
  @Test
  public void deadlinesAfterAnOverloadAreNotTypical() {
    RetryDetector callers = new RetryDetector();
    callers.isRetry(FULL_MS, true, 0);
    for (int i = 0; i < 100; i++) {
      callers.isRetry(FULL_MS - 1_000, false, i);
    }
    assertTrue(callers.isRetry(FULL_MS - 1_000, true, 200));
  }

  /** A single caller that once stated a very long deadline does not stay the reference for ever. */
  @Test
  public void theLongestDeadlineExpires() {
    RetryDetector callers = new RetryDetector();
    callers.isRetry(10 * FULL_MS, true, 0);
    assertTrue(callers.isRetry(FULL_MS, true, 40_000));
    assertFalse(callers.isRetry(FULL_MS, true, 80_000));
  }

  @Test
  public void urgentRanksRetryFirstAndWithinTheirRemainingTime() {
    for (double spread = 0; spread <= 1; spread += 0.25) {
      long before = 0;
      for (int rank = 0; rank < Demand.RANKS; rank++) {
        long retryMs = RetryAfterPolicy.retryAfterMs(rank, 200, true, 6_000, spread);
        assertTrue(retryMs > before, "rank " + rank + " in " + retryMs);
        assertTrue(retryMs <= 2_000, "rank " + rank + " in " + retryMs);
        before = retryMs;
      }
    }
  }

  @Test
  public void retriesWaitForAShrinkingQueue() {
    assertEquals(RetryAfterPolicy.retryAfterMs(0, 200, false, 60_000, 0), 500);
    assertEquals(RetryAfterPolicy.retryAfterMs(0, 200, false, 60_000, 1), 750);
    assertEquals(RetryAfterPolicy.retryAfterMs(0, 200, false, 900, 1), 297);
  }
}
