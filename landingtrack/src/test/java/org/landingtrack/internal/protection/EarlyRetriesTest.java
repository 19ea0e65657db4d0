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
package org.landingtrack.internal.protection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which retries count as early. */
public final class EarlyRetriesTest {
  private EarlyRetries retries;

  @BeforeMethod
  public void setUp() {
    retries = new EarlyRetries();
    retries.refused(7, 1_000, 9_000, 0);
  }

  @Test
  public void onlyFirstEarlyRetryIsPlanned() {
    assertEquals(retries.remainingWaitMs(7, false, 100), 0);
    assertEquals(retries.remainingWaitMs(7, false, 200), 600);
    assertEquals(retries.remainingWaitMs(8, false, 200), 0);
  }

  @Test
  public void busyVmPlansNoEarlyRetry() {
    assertEquals(retries.remainingWaitMs(7, true, 100), 700);
  }

  @Test
  public void retryAfterRetryTimeIsPlanned() {
    assertEquals(retries.remainingWaitMs(7, true, 800), 0);
    assertTrue(retries.isEmpty());
  }

  /** Callers wait at most a third of their remaining time, so a retry after that is not early. */
  @Test
  public void callerWithLittleTimeMayRetrySooner() {
    retries.refused(9, 1_000, 300, 0);
    assertEquals(retries.remainingWaitMs(9, true, 79), 1);
    assertEquals(retries.remainingWaitMs(9, true, 80), 0);
  }

  @Test
  public void refusedEarlyRetryDoesNotProlongRetryTime() {
    retries.refused(7, 1_000, 9_000, 500);
    assertEquals(retries.remainingWaitMs(7, true, 500), 300);
  }

  @Test
  public void theTableIsBounded() {
    for (long request = 100; request < 10_000; request++) {
      retries.refused(request, 1_000, 9_000, 1);
    }
    assertEquals(retries.size(), 1_024);
    assertEquals(retries.remainingWaitMs(7, true, 2), 0);
    assertTrue(retries.remainingWaitMs(9_999, true, 2) > 0);
    retries.refused(20_000, 1_000, 9_000, 5_000);
    assertEquals(retries.size(), 1);
  }
}
