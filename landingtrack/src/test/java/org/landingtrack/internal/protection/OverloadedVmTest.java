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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.landingtrack.internal.protection.VmPressure.Sample;
import org.landingtrack.internal.protection.VmPressure.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates a VM whose event loop gets more requests than it can serve, and counts the answers in
 * time. The loop handles requests in the order of arrival; a refusal takes a tenth of the time of a
 * request.
 */
public final class OverloadedVmTest {
  private static final long END_MS = 60_000;
  private static final double SERVED_MS = 10;
  private static final double REFUSED_MS = 1;
  private static final long TARGET_MS = 600;
  private static final long DEADLINE_MS = 3_000;
  private static final int TICK_MS = 100;
  private static final int TICKS = 5;

  /** One request in four has the highest priority. */
  private static final int URGENT_PARTS = 4;

  private record Arrival(long atMs, boolean urgent) {}

  /** Outcomes of the requests of a run. */
  private static final class Outcome {
    int inTime;
    int urgentInTime;
    int urgent;
    int others;
    int otherInTime;
    int admittedLate;
    int admitted;
    double lastRefusalMs;
  }

  /** Runs a load, which falls to half of the VM's capacity at {@code loadEndsMs}. */
  private static Outcome simulate(double load, long loadEndsMs, long seed) {
    Random random = new Random(seed);
    VmPressure pressure = new VmPressure();
    Deque<Arrival> queue = new ArrayDeque<>();
    Outcome outcome = new Outcome();
    double freeAtMs = 0;
    double lagMs = 0;
    double lagSum = 0;
    for (long nowMs = 0; nowMs < END_MS; nowMs++) {
      double rate = nowMs < loadEndsMs ? load : 0.5;
      for (double left = rate / SERVED_MS; left > 0; left--) {
        if (random.nextDouble() < left) {
          queue.add(new Arrival(nowMs, random.nextInt(URGENT_PARTS) == 0));
        }
      }
      while (freeAtMs <= nowMs && !queue.isEmpty()) {
        Arrival next = queue.remove();
        freeAtMs = nowMs + serve(next, nowMs, lagMs, pressure.state(), outcome);
      }
      if (nowMs % TICK_MS == 0) {
        lagSum += queue.isEmpty() ? 0 : nowMs - queue.element().atMs();
      }
      if (nowMs % (TICK_MS * TICKS) == 0) {
        lagMs = lagSum / TICKS;
        lagSum = 0;
        pressure.sample(new Sample(lagMs, 1, 0, 0));
      }
    }
    return outcome;
  }

  private static double serve(
      Arrival next, long nowMs, double lagMs, State state, Outcome outcome) {
    outcome.urgent += next.urgent() ? 1 : 0;
    outcome.others += next.urgent() ? 0 : 1;
    long ageMs = nowMs - next.atMs();
    boolean refused =
        state == State.OVERLOADED
            && LatenessCheck.decide(ageMs, lagMs, TARGET_MS, DEADLINE_MS, next.urgent()) != null;
    if (refused) {
      outcome.lastRefusalMs = nowMs;
      return REFUSED_MS;
    }
    boolean inTime = ageMs + SERVED_MS <= TARGET_MS;
    outcome.admitted++;
    outcome.admittedLate += inTime ? 0 : 1;
    outcome.inTime += inTime ? 1 : 0;
    outcome.urgentInTime += inTime && next.urgent() ? 1 : 0;
    outcome.otherInTime += inTime && !next.urgent() ? 1 : 0;
    return SERVED_MS;
  }

  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {1.5, 1L}, {2.0, 1L}, {2.0, 2L}, {2.0, 3L}, {4.0, 1L},
    };
  }

  /** The only capacity that callers lose is the time that refusals take. */
  @Test(dataProvider = "loads")
  public void overloadedVmKeepsItsGoodput(double load, long seed) {
    Outcome outcome = simulate(load, END_MS, seed);
    double refusedShare = (load - 1) * REFUSED_MS / SERVED_MS;
    double capacity = END_MS / SERVED_MS * (1 - refusedShare);
    String text = "in time " + outcome.inTime + " of " + capacity;
    assertTrue(outcome.inTime >= 0.9 * capacity, text);
    assertTrue(
        outcome.admittedLate <= 0.05 * outcome.admitted,
        "late " + outcome.admittedLate + " of " + outcome.admitted);
    double urgentShare = outcome.urgentInTime / (double) outcome.urgent;
    double otherShare = outcome.otherInTime / (double) outcome.others;
    assertTrue(urgentShare >= otherShare, urgentShare + " and " + otherShare);
  }

  @Test
  public void vmBelowCapacityRefusesNothing() {
    Outcome outcome = simulate(0.5, END_MS, 1);
    assertEquals(outcome.inTime, outcome.urgent + outcome.others);
  }

  /** Refusals end within a second of the end of the load, including the backlog. */
  @Test
  public void refusalsEndWithTheOverload() {
    Outcome outcome = simulate(2, 30_000, 1);
    assertTrue(outcome.lastRefusalMs <= 31_000, "last refusal at " + outcome.lastRefusalMs);
  }
}
