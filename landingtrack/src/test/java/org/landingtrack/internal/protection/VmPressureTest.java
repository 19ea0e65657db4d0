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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.landingtrack.internal.protection.VmPressure.Sample;
import org.landingtrack.internal.protection.VmPressure.State;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the load states of a VM, and which requests are refused because they would be late. */
public final class VmPressureTest {
  private VmPressure pressure;

  @BeforeMethod
  public void setUp() {
    pressure = new VmPressure();
  }

  private State sampleLag(double ms) {
    return pressure.sample(new Sample(ms, 0, 0, 0));
  }

  @Test
  public void sustainedLagIsOverloadAndEndsThroughBusy() {
    assertEquals(sampleLag(150), State.NORMAL);
    assertEquals(sampleLag(150), State.OVERLOADED);
    assertEquals(sampleLag(60), State.OVERLOADED);
    assertEquals(sampleLag(0), State.OVERLOADED);
    assertEquals(sampleLag(0), State.OVERLOADED);
    assertEquals(sampleLag(0), State.BUSY);
    assertEquals(sampleLag(0), State.BUSY);
    assertEquals(sampleLag(0), State.BUSY);
    assertEquals(sampleLag(0), State.NORMAL);
  }

  /** After a garbage collection or a suspension of the VM, requests are old without overload. */
  @Test
  public void singlePauseChangesNothing() {
    for (int i = 0; i < 20; i++) {
      assertEquals(sampleLag(i % 2 == 0 ? 3_000 : 1), State.NORMAL);
    }
  }

  /** Processor and connection use alone are no reason to refuse requests. */
  @Test
  public void cpuAndConnectionsOnlyMakeBusy() {
    for (int i = 0; i < 20; i++) {
      pressure.sample(new Sample(10, 1.5, 0, 1));
    }
    assertEquals(pressure.state(), State.BUSY);
  }

  @Test
  public void heapShortageIsReportedAfterTwoSamples() {
    pressure.sample(new Sample(0, 0, 0.9, 0));
    assertFalse(pressure.isShortOfHeap());
    pressure.sample(new Sample(0, 0, 0.9, 0));
    assertTrue(pressure.isShortOfHeap());
    pressure.sample(new Sample(0, 0, 0.6, 0));
    assertFalse(pressure.isShortOfHeap());
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{11L}, {12L}, {13L}};
  }

  /** With lag around the threshold, the state changes at most once a second. */
  @Test(dataProvider = "seeds")
  public void theStateDoesNotFlap(long seed) {
    Random random = new Random(seed);
    State before = State.NORMAL;
    int changedAt = -10;
    for (int i = 0; i < 2_000; i++) {
      State now = sampleLag(80 + 40 * random.nextDouble());
      if (now != before) {
        assertTrue(i - changedAt >= 2, "samples " + changedAt + " and " + i);
        changedAt = i;
        before = now;
      }
    }
    assertEquals(before, State.OVERLOADED);
  }

  @Test
  public void onlyLateRequestsAreRefused() {
    assertEquals(LatenessCheck.decide(100, 150, 600, 3_000, false), null);
    Refusal late = LatenessCheck.decide(400, 150, 600, 3_000, false);
    assertTrue(late != null && late.retryAfterMs() == 50 && late.reason().equals("late"));
    assertEquals(LatenessCheck.decide(400, 150, 600, 3_000, true), null);
    assertTrue(LatenessCheck.decide(2_800, 150, 600, 3_000, true) != null);
    assertTrue(LatenessCheck.decide(0, 150, 600, 200, false) != null);
  }

  /**
   * At any lag at which other requests are served, those of the highest priority are served too, so
   * that twice the load the VM can serve leaves them unaffected.
   */
  @Test
  public void highestPriorityIsRefusedLast() {
    for (double lagMs = 0; lagMs < 3_000; lagMs += 10) {
      boolean urgent = LatenessCheck.decide(0, lagMs, 600, 3_000, true) == null;
      boolean other = LatenessCheck.decide(0, lagMs, 600, 3_000, false) == null;
      assertTrue(urgent || !other, "lag " + lagMs);
    }
  }
}
