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

import org.landingtrack.internal.serving.EngineAdmission.Verdict;
import org.landingtrack.internal.serving.ServerSelector.Selection;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the decisions and retry times of {@link EngineAdmission}. */
public final class EngineAdmissionTest {
  private static final long TARGET_MS = 1_000;

  /** Wait at the engine, share of its memory, age, time left, expected wait in queue, verdict. */
  @DataProvider
  public Object[][] cases() {
    return new Object[][] {
      {0, 0.2, 0, 4_000, 0, Verdict.SEND},
      {250, 0.75, 0, 4_000, 0, Verdict.SEND},
      {251, 0.2, 0, 4_000, 0, Verdict.WAIT},
      {0, 0.76, 0, 4_000, 0, Verdict.WAIT},
      {0, 1.05, 500, 4_000, 0, Verdict.WAIT},
      {0, 1.05, 1_000, 4_000, 0, Verdict.SEND},
      {0, 1.2, 9_000, 4_000, 0, Verdict.WAIT},
      {0, 0.9, 0, 4_000, 3_899, Verdict.WAIT},
      {0, 0.9, 0, 4_000, 3_901, Verdict.REFUSE},
      {0, 0.2, 0, 4_000, 9_000, Verdict.SEND},
      {0, 0.9, 0, 99, 0, Verdict.REFUSE},
    };
  }

  @Test(dataProvider = "cases")
  public void decidesToSendWaitOrRefuse(
      int waitMs, double memoryShare, int ageMs, int leftMs, int expectedWaitMs, Verdict verdict) {
    Selection choice =
        new Selection(
            TestPartTransfers.engine("e"),
            0,
            null,
            waitMs,
            memoryShare,
            waitMs + 100,
            100,
            true,
            0);
    assertEquals(
        EngineAdmission.decide(choice, ageMs, TARGET_MS, leftMs, expectedWaitMs, true, false),
        verdict);
  }

  @Test
  public void agedRequestsGetNoMoreMemoryOfBrittleEngines() {
    Selection choice =
        new Selection(TestPartTransfers.engine("e"), 0, null, 0, 0.76, 100, 100, true, 0);
    assertEquals(
        EngineAdmission.decide(choice, TARGET_MS, TARGET_MS, 4_000, 0, true, false), Verdict.SEND);
    assertEquals(
        EngineAdmission.decide(choice, TARGET_MS, TARGET_MS, 4_000, 0, false, false), Verdict.WAIT);
  }

  @Test
  public void streamsToContinueGetTheMemoryOfAgedRequestsAndAreNotRefused() {
    Selection choice =
        new Selection(TestPartTransfers.engine("e"), 0, null, 0, 1.05, 100, 100, true, 0);
    assertEquals(EngineAdmission.decide(choice, 0, TARGET_MS, 4_000, 0, true, false), Verdict.WAIT);
    assertEquals(EngineAdmission.decide(choice, 0, TARGET_MS, 4_000, 0, true, true), Verdict.SEND);
    assertEquals(EngineAdmission.decide(choice, 0, TARGET_MS, 4_000, 0, false, true), Verdict.WAIT);
    Selection full =
        new Selection(TestPartTransfers.engine("e"), 0, null, 0, 1.2, 100, 100, true, 0);
    assertEquals(
        EngineAdmission.decide(full, 0, TARGET_MS, 4_000, 9_000, true, false), Verdict.REFUSE);
    assertEquals(
        EngineAdmission.decide(full, 0, TARGET_MS, 4_000, 9_000, true, true), Verdict.WAIT);
  }

  @Test
  public void retriesAreSpreadAndLeaveTime() {
    assertEquals(EngineAdmission.retryAfterMs(500, 4_000, 0), 500);
    assertEquals(EngineAdmission.retryAfterMs(9_000, 4_000, 0), 1_000);
    assertEquals(EngineAdmission.retryAfterMs(500, 4_000, -1), 799);
  }
}
