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
import org.landingtrack.internal.health.Evidence.EjectionCounts;
import org.testng.annotations.Test;

/** Tests the probe delays of an ejected server and which outcomes count after reinstatement. */
public final class EjectionTest {
  private static final EjectionCounts EJECTED = new EjectionCounts(10, 0, 0);
  private static final EjectionCounts PROBED = new EjectionCounts(10, 1, 0);
  private static final EjectionCounts PROBE_ANSWERED = new EjectionCounts(10, 1, 1);

  private static Evidence evidence(long total, long failures) {
    Outcomes outcomes = new Outcomes(total, failures, 0);
    return new Evidence(outcomes, outcomes);
  }

  @Test
  public void eachFailedProbeDoublesTheDelay() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(EJECTED, 0);
    assertFalse(ejection.isProbeDue(999));
    assertTrue(ejection.isProbeDue(1_000));
    assertEquals(ejection.update(PROBED, Evidence.NONE, 1_100), Change.NONE);
    assertFalse(ejection.isProbeDue(3_099));
    assertEquals(ejection.update(PROBED, Evidence.NONE, 1_200), Change.NONE, "the same probe");
    assertTrue(ejection.isProbeDue(3_100));
  }

  @Test
  public void outcomesBeforeReinstatementDoNotCount() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(EJECTED, 0);
    assertEquals(ejection.update(PROBE_ANSWERED, evidence(20, 10), 1_200), Change.PROBE_ANSWERED);
    assertFalse(ejection.isActive());
    assertEquals(ejection.evidenceSinceReinstatement(evidence(24, 11), 1_300), evidence(4, 1));
    assertEquals(ejection.evidenceSinceReinstatement(evidence(24, 11), 5_000), evidence(24, 11));
  }

  @Test
  public void answersBeforeTheEjectionDoNotReinstate() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(PROBE_ANSWERED, 0);
    assertEquals(ejection.update(PROBE_ANSWERED, Evidence.NONE, 100), Change.NONE);
    assertTrue(ejection.isActive());
  }

  @Test
  public void aServerThatNoVmProbesIsReinstated() {
    Ejection ejection = new Ejection(1, 2);
    ejection.begin(EJECTED, 0);
    assertEquals(ejection.update(EJECTED, Evidence.NONE, 5_000), Change.NONE);
    assertEquals(ejection.update(EJECTED, Evidence.NONE, 5_001), Change.NOT_PROBED);
  }
}
