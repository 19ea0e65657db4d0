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
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.Test;

/** Tests how scarce capacity is divided between teams. */
public final class MaxMinSharesTest {
  private static final double ROUNDING = 1e-6;

  @Test
  public void smallDemandsAreMetAndLargeOnesGetEqualAmounts() {
    List<Long> asked = List.of(10L, 100L, 200L);
    double level = MaxMinShares.level(asked, 0.5);
    assertEquals(MaxMinShares.admittedShare(level, 10, 0.5), 1.0, ROUNDING);
    assertEquals(100 * MaxMinShares.admittedShare(level, 100, 0.5), 72.5, 1e-3);
    assertEquals(200 * MaxMinShares.admittedShare(level, 200, 0.5), 72.5, 1e-3);
  }

  /** One of 24 teams asks for a hundred times as much as each other. */
  @Test
  public void noTeamIsStarved() {
    List<Long> asked = new ArrayList<>(Collections.nCopies(23, 10L));
    asked.add(1_000L);
    double level = MaxMinShares.level(asked, 0.2);
    assertTrue(MaxMinShares.admittedShare(level, 1_000, 0.2) >= 0.1);
  }

  @Test
  public void aTeamWithoutReportedDemandIsAdmitted() {
    assertEquals(MaxMinShares.admittedShare(5, 0, 0.5), 1.0);
    assertEquals(MaxMinShares.level(List.of(), 0.5), 0.0);
  }
}
