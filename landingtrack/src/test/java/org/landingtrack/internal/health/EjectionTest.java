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
package org.landingtrack.internal.health;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.landingtrack.internal.health.Ejection.Change;
import org.landingtrack.internal.health.Evidence.Word;
import org.testng.annotations.Test;

/** Tests the probe delays of an ejected server and which outcomes count after reinstatement. */
public final class EjectionTest {
  private static final Word HELD = new Word(10, 0, 0);
  private static final Word PROBED = new Word(10, 1, 0);
  private static final Word PROVED = new Word(10, 1, 1);

  private static Evidence evidence(long total, long failures) {
    Outcomes outcomes = new Outcomes(total, failures, 0);
    return new Evidence(outcomes, outcomes);
  }

  @Test
  public void eachTryThatFailsDoublesThePause() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(HELD, 0);
    assertFalse(ejection.isDue(999));
    assertTrue(ejection.isDue(1_000));
    assertEquals(ejection.heard(PROBED, Evidence.NONE, 1_100), Change.NONE);
    assertFalse(ejection.isDue(3_099));
    assertEquals(ejection.heard(PROBED, Evidence.NONE, 1_200), Change.NONE, "the same probe");
    assertTrue(ejection.isDue(3_100));
  }

  @Test
  public void whatWasBeforeItsReturnNoLongerCounts() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(HELD, 0);
    assertEquals(ejection.heard(PROVED, evidence(20, 10), 1_200), Change.PROVED);
    assertFalse(ejection.isHeld());
    assertEquals(ejection.since(evidence(24, 11), 1_300), evidence(4, 1));
    assertEquals(ejection.since(evidence(24, 11), 5_000), evidence(24, 11));
  }

  @Test
  public void anAnswerFromBeforeItsEjectionProvesNothing() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(PROVED, 0);
    assertEquals(ejection.heard(PROVED, Evidence.NONE, 100), Change.NONE);
    assertTrue(ejection.isHeld());
  }

  @Test
  public void aServerThatNobodyTriesIsLeftToAll() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(HELD, 0);
    assertEquals(ejection.heard(HELD, Evidence.NONE, 5_000), Change.NONE);
    assertEquals(ejection.heard(HELD, Evidence.NONE, 5_001), Change.UNTRIED);
  }
}
