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
 * Tests that servers which announce in an answer that they leave get no more requests, whatever the
 * platform's store says of them.
 *
 * <p>Failure: a server announced in an answer that it leaves, and got a request 3.4 s later from
 * the VM that had forwarded that answer, where 2 s are allowed; another VM sent one after 6.6 s.
 * The platform's store acknowledged nothing meanwhile, so the server's entry still said that it was
 * ready.
 *
 * <p>Cause: only the entry was consulted. The announcement in the answer went to the caller and was
 * not read by the VM. The VMs chose the server regularly among 13 candidates, and no log line said
 * that it was leaving.
 */
public final class ServerLeavingTest {
  private static final int VMS = 7;
  private static final int SERVERS = 4;
  private static final double PER_SECOND = 40;
  private static final long LEAVES_FROM_MS = 2_000;
  private static final long END_MS = 15_000;
  private static final int SEEDS = 10;

  /** Minimum share of requests served; the other servers have capacity for all. */
  private static final double MIN_SERVED = 0.99;

  private static BackpressureFleet fleet(int seed) {
    BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, seed);
    fleet.server(0).leavesFromMs = LEAVES_FROM_MS;
    return fleet;
  }

  private static void playAndCheck(BackpressureFleet fleet, int seed) {
    fleet.run(END_MS, PER_SECOND);
    assertEquals(fleet.violations().toString(), "[]", "seed " + seed);
    assertTrue(
        fleet.servedShare() >= MIN_SERVED, "seed " + seed + ": served " + fleet.servedShare());
  }

  @Test
  public void serverThatReportsLeavingGetsNoMoreRequests() {
    for (int seed = 0; seed < SEEDS; seed++) {
      playAndCheck(fleet(seed), seed);
    }
  }

  /**
   * Lists older than the server's announcement, and entries that expire, do not make it usable
   * again.
   */
  @Test
  public void storeCannotRestoreLeavingServer() {
    for (int seed = 0; seed < SEEDS; seed++) {
      BackpressureFleet fleet = fleet(seed);
      Random random = new Random(seed);
      for (long atMs = LEAVES_FROM_MS; atMs < END_MS; atMs += 300) {
        BackpressureFleet.Vm vm = fleet.vm(random.nextInt(VMS));
        boolean lacksIt = random.nextBoolean();
        fleet.at(atMs, lacksIt ? () -> vm.readListWithout(fleet.server(0)) : vm::readList);
      }
      playAndCheck(fleet, seed);
    }
  }

  /** The server also reports a limit before it leaves. */
  @Test
  public void earlierLimitDoesNotMatter() {
    for (int seed = 0; seed < SEEDS; seed++) {
      BackpressureFleet fleet = fleet(seed);
      fleet.server(0).limitPerSecond = 2;
      fleet.server(0).limitFromMs = 0;
      playAndCheck(fleet, seed);
    }
  }
}
