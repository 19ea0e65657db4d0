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
package org.landingtrack.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the limit follows the time that requests wait at their servers. */
public final class ConcurrencyLimitTest {
  private static final int LEAST = 3;
  private static final int MOST = 40;
  private static final double WORK_MS = 20;

  private final ConcurrencyLimit limit = new ConcurrencyLimit();
  private long now;

  /** Runs requests at the limit, all with the same wait. */
  private static void run(ConcurrencyLimit limit, double waitMs, int requests, long startMs) {
    for (int i = 0; i < requests; i++) {
      long sentMs = startMs + i * 50L;
      long nowMs = sentMs + (long) waitMs;
      limit.recordFirstToken(waitMs, WORK_MS, limit.boundedLimit(LEAST, MOST), sentMs, nowMs);
    }
  }

  @DataProvider
  public Object[][] waits() {
    return new Object[][] {
      // wait at the server, requests, lowest and highest limit expected afterwards
      {0.0, 400, MOST, MOST},
      {100.0, 400, MOST, MOST},
      {2_000.0, 1_000, LEAST, LEAST},
    };
  }

  @Test(dataProvider = "waits")
  public void longWaitsLowerTheLimit(double waitMs, int requests, int least, int most) {
    ConcurrencyLimit tested = new ConcurrencyLimit();
    run(tested, waitMs, requests, 0);
    int after = tested.boundedLimit(LEAST, MOST);
    assertTrue(after >= least && after <= most, "limit " + after);
  }

  @Test
  public void shortWaitsRaiseTheLimitAgain() {
    ConcurrencyLimit tested = new ConcurrencyLimit();
    run(tested, 2_000, 1_000, 0);
    run(tested, 0, 400, 1_000_000);
    assertEquals(tested.boundedLimit(LEAST, MOST), MOST);
  }

  /**
   * Requests sent before a decrease must not count against it, or one queue causes two decreases.
   */
  @Test
  public void requestsSentBeforeADecreaseAreIgnored() {
    observeMany(MOST, 0, 300);
    int once = limit.boundedLimit(1, MOST);
    assertTrue(once < MOST, "limit " + once);
    for (int i = 0; i < 20; i++) {
      now += 300;
      observeMany(MOST, 0, now);
    }
    assertEquals(limit.boundedLimit(1, MOST), once);
  }

  private void observeMany(int running, long sentMs, long nowMs) {
    for (int i = 0; i < 10; i++) {
      limit.recordFirstToken(1_000, WORK_MS, running, sentMs, nowMs - 300);
      limit.recordFirstToken(1_000, WORK_MS, running, sentMs, nowMs);
    }
  }
}
