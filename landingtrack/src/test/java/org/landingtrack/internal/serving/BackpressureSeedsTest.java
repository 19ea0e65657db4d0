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

import java.util.Random;
import org.testng.annotations.Test;

/**
 * Simulates random fleets in which servers set rate limits, ask for backoffs and leave, in any
 * combination, while requests arrive in bursts and VMs restart, pause or are partitioned. Checks
 * that no server gets more requests than it asked for.
 */
public final class BackpressureSeedsTest {
  /** The number of seeds in CI, each of which is one simulation of {@link #RUN_MS}. */
  private static final int SEEDS = 60;

  private static final long RUN_MS = 30_000;
  private static final int[] FLEETS = {1, 2, 3, 5, 7, 9, 12, 20, 40};
  private static final double[] LIMITS = {0, 0.2, 0.5, 1, 1.3, 2, 5, 20};
  private static final int MAX_SERVERS = 12;
  private static final double MAX_REQUESTS_PER_SECOND = 300;
  private static final int MAX_DISTURBANCES = 8;
  private static final long MAX_DISTURBANCE_MS = 6_000;

  /** The least share of requests served when one server stays healthy and retries are allowed. */
  private static final double MIN_SERVED_SHARE = 0.9;

  private final Random seeds = new Random();

  @Test
  public void randomFleetsSendServersNoMoreThanRequested() {
    for (int seed = 0; seed < SEEDS; seed++) {
      String broken = violations(seed);
      assertEquals(broken, "[]", "seed " + seed);
    }
  }

  /**
   * With this seed nine requests reached a server with a limit of 0.5 requests per second in four
   * seconds, where eight are allowed. The fleet exchanges load reports through hubs, and all VMs
   * drew three more slots before they learned of the first requests.
   */
  @Test
  public void slotsDrawnBeforeSendsAreReportedDoNotAddUp() {
    assertEquals(violations(717), "[]");
  }

  private String violations(int seed) {
    seeds.setSeed(seed);
    int vms = FLEETS[seeds.nextInt(FLEETS.length)];
    int servers = 2 + seeds.nextInt(MAX_SERVERS - 1);
    BackpressureFleet fleet = new BackpressureFleet(vms, servers, seed);
    // The first server stays healthy, so that requests can be served.
    for (int i = 1; i < servers; i++) {
      drawBackpressure(fleet.server(i));
    }
    fleet.reportLossShare = seeds.nextInt(4) == 0 ? seeds.nextDouble() : 0.02;
    int troubles = seeds.nextInt(MAX_DISTURBANCES);
    for (int i = 0; i < troubles; i++) {
      drawDisturbance(fleet, fleet.vm(seeds.nextInt(vms)));
    }
    fleet.path = seeds.nextBoolean() ? "/safe/x" : "/never/x";
    fleet.run(RUN_MS, 1 + MAX_REQUESTS_PER_SECOND * seeds.nextDouble());
    if (troubles == 0 && fleet.path.startsWith("/safe/")) {
      assertTrue(
          fleet.servedShare() >= MIN_SERVED_SHARE,
          "seed " + seed + ": served " + fleet.servedShare());
    }
    return fleet.violations().toString();
  }

  private void drawBackpressure(BackpressureFleet.Server server) {
    if (seeds.nextInt(2) == 0) {
      server.limitPerSecond = LIMITS[seeds.nextInt(LIMITS.length)];
      server.limitFromMs = drawTime();
      server.limitUntilMs = server.limitFromMs + drawTime();
    }
    if (seeds.nextInt(3) == 0) {
      server.backoffMs = 500L + seeds.nextInt(5_000);
      server.shedsFromMs = drawTime();
      server.shedsUntilMs = server.shedsFromMs + drawTime();
      server.saysNotRun = seeds.nextBoolean();
    }
    if (seeds.nextInt(4) == 0) {
      server.leavesFromMs = drawTime();
    }
  }

  private long drawTime() {
    return seeds.nextInt((int) RUN_MS);
  }

  private void drawDisturbance(BackpressureFleet fleet, BackpressureFleet.Vm vm) {
    long forMs = seeds.nextInt((int) MAX_DISTURBANCE_MS);
    Runnable trouble =
        switch (seeds.nextInt(5)) {
          case 0 -> vm::restart;
          case 1 -> () -> vm.partition(forMs);
          case 2 -> () -> vm.pause(forMs);
          case 3 -> vm::readList;
          default -> {
            double burst = 0.2 + 5 * seeds.nextDouble();
            yield () -> fleet.rateFactor = burst;
          }
        };
    fleet.at(drawTime(), trouble);
  }
}
