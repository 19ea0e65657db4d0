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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the backoff that a backend server asks one VM for, and the trial request after it. */
public final class ServerBackoffTest {
  private ServerBackoff rest = new ServerBackoff();

  @BeforeMethod
  public void setUp() {
    rest = new ServerBackoff();
  }

  @Test
  public void theLongestBackoffWins() {
    assertTrue(rest.request(3_000, 1_000));
    assertFalse(rest.request(500, 1_100));
    assertTrue(rest.isActive(3_999));
    assertEquals(rest.remainingMs(3_000), 1_000);
    assertFalse(rest.isActive(4_000));
    assertEquals(rest.remainingMs(5_000), 0);
  }

  /** After a backoff a single trial request is sent first, so that not many are rejected again. */
  @Test
  public void afterABackoffTheServerIsProbedUntilItSucceeds() {
    assertFalse(rest.isTrialLeftToOthers(1_000, true));
    rest.request(3_000, 1_000);
    rest.recordSuccess(1_500);
    assertFalse(rest.isTrialLeftToOthers(3_999, true), "the backoff is not over");
    assertTrue(rest.isTrialLeftToOthers(4_000, true));
    assertFalse(rest.isTrialLeftToOthers(4_000, false));
    assertFalse(rest.isTrialLeftToOthers(5_000, true), "no other request became the trial in time");
    rest.recordSuccess(4_100);
    assertFalse(rest.isTrialLeftToOthers(4_200, true));
  }

  @Test
  public void theBackoffIsBounded() {
    rest.request(Long.MAX_VALUE, 1_000);
    assertEquals(rest.remainingMs(1_000), ServerBackoff.MAX_MS);
  }
}
