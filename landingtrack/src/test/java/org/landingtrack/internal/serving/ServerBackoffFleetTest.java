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

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that servers that reject requests and ask for a backoff get no requests until it ends.
 *
 * <p>Guards against VMs that ignore the backoff. A 503 lowered the preference for its server for
 * only 150 ms, no VM read the backoff, and a server that rejects all requests looks idle. Four of
 * thirteen servers that rejected everything and asked for a backoff of 3 s got half of all
 * requests, up to 7 from one VM in 3 s, where 2 are allowed. Over a tenth of the callers were
 * refused although nine servers had capacity, most of them on a route that allows a single attempt.
 */
public final class ServerBackoffFleetTest {
  private static final int VMS = 7;
  private static final int SERVERS = 4;
  private static final double PER_SECOND = 40;
  private static final long SHEDS_FROM_MS = 2_000;
  private static final long SHEDS_UNTIL_MS = 12_000;
  private static final long BACKOFF_MS = 3_000;
  private static final long END_MS = 20_000;
  private static final int SEEDS = 10;

  /** The time after a backoff within which the server is used again. */
  private static final long USED_AGAIN_MS = 2_000;

  /** The other servers have capacity for all requests. */
  private static final double MIN_SERVED_SHARE = 0.99;

  /** Operators are alerted when over 10% of the requests fail; half of that may fail here. */
  private static final double MIN_SERVED_SHARE_WITHOUT_RETRIES = 0.95;

  private static final int MANY_SERVERS = 13;
  private static final int MANY_BACKED_OFF = 4;
  private static final double MIN_PART_OF_EQUAL_SHARE = 0.5;

  /** Whether the 503 responses state that the request did not run. */
  @DataProvider
  public Object[][] answers() {
    return new Object[][] {{true}, {false}};
  }

  private static void rejectAndRequestBackoff(BackpressureFleet.Server server, boolean saysNotRun) {
    server.backoffMs = BACKOFF_MS;
    server.shedsFromMs = SHEDS_FROM_MS;
    server.shedsUntilMs = SHEDS_UNTIL_MS;
    server.saysNotRun = saysNotRun;
  }

  @Test(dataProvider = "answers")
  public void aServerGetsNoRequestsDuringItsBackoff(boolean saysNotRun) {
    for (int seed = 0; seed < SEEDS; seed++) {
      BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, seed);
      rejectAndRequestBackoff(fleet.server(0), saysNotRun);
      rejectAndRequestBackoff(fleet.server(1), saysNotRun);
      fleet.run(END_MS, PER_SECOND);
      assertEquals(fleet.violations().toString(), "[]", "seed " + seed);
      assertTrue(
          fleet.servedShare() >= MIN_SERVED_SHARE,
          "seed " + seed + ": served " + fleet.servedShare());
      assertUsedAgain(fleet, seed);
    }
  }

  /**
   * Nine of thirteen servers have capacity, and each request has a single attempt. When each VM had
   * to find out on its own which servers had asked for a backoff, one caller in eight was not
   * served.
   */
  @Test
  public void requestsWithOneAttemptGoToOtherServers() {
    for (int seed = 0; seed < SEEDS; seed++) {
      BackpressureFleet fleet = new BackpressureFleet(VMS, MANY_SERVERS, seed);
      fleet.path = "/never/x";
      for (int i = 0; i < MANY_BACKED_OFF; i++) {
        rejectAndRequestBackoff(fleet.server(i), true);
      }
      fleet.run(END_MS, PER_SECOND);
      assertEquals(fleet.violations().toString(), "[]", "seed " + seed);
      assertTrue(
          fleet.servedShare() >= MIN_SERVED_SHARE_WITHOUT_RETRIES,
          "seed " + seed + ": served " + fleet.servedShare());
    }
  }

  /** Requests are refused immediately, and served again when the backoff is over. */
  @Test(dataProvider = "answers")
  public void requestsAreRefusedAtOnceWhileAllServersBackOff(boolean saysNotRun) {
    for (int seed = 0; seed < SEEDS; seed++) {
      BackpressureFleet fleet = new BackpressureFleet(VMS, SERVERS, seed);
      for (int i = 0; i < SERVERS; i++) {
        rejectAndRequestBackoff(fleet.server(i), saysNotRun);
      }
      fleet.run(END_MS, PER_SECOND);
      assertEquals(fleet.violations().toString(), "[]", "seed " + seed);
      assertEquals(fleet.refusedLateShare(), 0.0, "seed " + seed);
      assertUsedAgain(fleet, seed);
    }
  }

  private static void assertUsedAgain(BackpressureFleet fleet, int seed) {
    long fromMs = SHEDS_UNTIL_MS + BACKOFF_MS + USED_AGAIN_MS;
    double equalShare = PER_SECOND / SERVERS * (END_MS - fromMs) / 1_000;
    int arrived = fleet.server(0).arrivedBetween(fromMs, END_MS);
    assertTrue(
        arrived >= MIN_PART_OF_EQUAL_SHARE * equalShare,
        "seed " + seed + ": " + arrived + " of " + equalShare);
  }
}
