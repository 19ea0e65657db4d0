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
public final class ServerRestPeriodTest {
  private ServerRest rest = new ServerRest();

  @BeforeMethod
  public void forget() {
    rest = new ServerRest();
  }

  @Test
  public void theLongestRestCounts() {
    assertTrue(rest.asked(3_000, 1_000));
    assertFalse(rest.asked(500, 1_100));
    assertTrue(rest.isOn(3_999));
    assertEquals(rest.leftMs(3_000), 1_000);
    assertFalse(rest.isOn(4_000));
    assertEquals(rest.leftMs(5_000), 0);
  }

  /** After a backoff a single trial request is sent first, so that not many are rejected again. */
  @Test
  public void afterItsRestAServerIsOnTrialUntilItAnswersWell() {
    assertFalse(rest.isLeftToOthers(1_000, true));
    rest.asked(3_000, 1_000);
    rest.proved(1_500);
    assertFalse(rest.isLeftToOthers(3_999, true), "the backoff is not over");
    assertTrue(rest.isLeftToOthers(4_000, true));
    assertFalse(rest.isLeftToOthers(4_000, false));
    assertFalse(rest.isLeftToOthers(5_000, true), "no other request became the trial in time");
    rest.proved(4_100);
    assertFalse(rest.isLeftToOthers(4_200, true));
  }

  @Test
  public void aHugeRestIsBounded() {
    rest.asked(Long.MAX_VALUE, 1_000);
    assertEquals(rest.leftMs(1_000), ServerRest.MAX_MS);
  }
}
