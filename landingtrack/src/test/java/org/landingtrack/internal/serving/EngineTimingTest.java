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
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests the prefill time and the lag that {@link EngineTiming} learns from answers. */
public final class EngineTimingTest {
  private static void recordAnswer(EngineTiming timing, long atMs, double expectedMs, long tookMs) {
    Object request = new Object();
    timing.recordSend(request, expectedMs, 1_000, 10, true, atMs);
    timing.recordFirstEvent(request, atMs + tookMs);
  }

  @Test
  public void samplesReplaceThePrior() {
    EngineTiming fastEngine = new EngineTiming();
    EngineTiming slowEngine = new EngineTiming();
    for (int i = 0; i < 40; i++) {
      recordAnswer(fastEngine, i * 100L, 30, 20);
      recordAnswer(slowEngine, i * 100L, 30, 60);
    }
    assertEquals(fastEngine.msPerToken(), 0.01, 0.001);
    assertEquals(slowEngine.msPerToken(), 0.05, 0.005);
  }

  @Test
  public void lagFollowsLateAnswersAndDecays() {
    EngineTiming timing = new EngineTiming();
    recordAnswer(timing, 0, 100, 900);
    assertEquals(timing.lagMs(900), 400, 1);
    assertEquals(timing.lagMs(1_900), 200, 1);
    recordAnswer(timing, 1_900, 100, 100);
    assertTrue(timing.lagMs(2_000) < 100);
  }

  @Test
  public void lagGrowsWhileAnEngineDoesNotAnswer() {
    EngineTiming timing = new EngineTiming();
    Object request = new Object();
    timing.recordSend(request, 100, 1_000, 0, true, 0);
    assertEquals(timing.lagMs(100), 0, 0.01);
    assertEquals(timing.lagMs(2_100), 2_000, 0.01);
    timing.recordEnd(request, 2_100);
    assertEquals(timing.lagMs(3_100), 1_000, 1);
  }

  @Test
  public void answersOfABusyEngineAreNotSampled() {
    EngineTiming timing = new EngineTiming();
    Object request = new Object();
    timing.recordSend(request, 30, 1_000, 0, false, 0);
    timing.recordFirstEvent(request, 500);
    assertEquals(timing.msPerToken(), EngineTiming.PRIOR_MS_PER_TOKEN);
  }
}
