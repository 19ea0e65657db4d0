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
package org.landingtrack.internal.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.catalog.Team;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that the shares of a team's limit follow its traffic, and that their sum stays within the
 * limit under faults as well.
 */
public final class QuotaAllocatorTest {
  private static final double RATE = 200;
  private static final int BURST = 8;
  private static final Team TEAM = new Team(List.of(), RATE, BURST, 1_000_000, 1);
  private static final int STEPS_PER_S = 100;

  private enum Fault {
    NONE,
    /** The owner does not answer. */
    OWNER_GONE,
    /** Another controller becomes the owner and starts without records. */
    OWNER_CHANGES,
    /** Every other report or its answer is lost. */
    LOSSES
  }

  @DataProvider
  public Object[][] traffic() {
    return new Object[][] {
      // requests a second at each gateway, fault, least and most admitted a second (limit 200)
      {new double[] {400, 0, 0, 0}, Fault.NONE, 120.0, 125.0},
      {new double[] {400, 20, 20, 20}, Fault.NONE, 170.0, 200.0},
      {new double[] {400, 400, 400, 400}, Fault.NONE, 190.0, 205.0},
      {new double[] {400, 100, 0, 0}, Fault.NONE, 145.0, 155.0},
      {new double[] {400, 0, 0, 0}, Fault.OWNER_GONE, 48.0, 52.0},
      {new double[] {400, 400, 400, 400}, Fault.OWNER_GONE, 190.0, 205.0},
      {new double[] {400, 400, 400, 400}, Fault.OWNER_CHANGES, 190.0, 215.0},
      {new double[] {400, 0, 0, 0}, Fault.LOSSES, 115.0, 125.0},
      {new double[] {400, 400, 400, 400}, Fault.LOSSES, 190.0, 215.0},
    };
  }

  @Test(dataProvider = "traffic")
  public void sharesFollowTheTrafficWithinTheLimit(
      double[] requestRates, Fault fault, double least, double most) {
    FakeTicker ticker = new FakeTicker();
    List<TeamLimiter> gateways = new ArrayList<>();
    for (int i = 0; i < requestRates.length; i++) {
      gateways.add(new TeamLimiter(ticker));
      gateways.get(i).setGateways(requestRates.length);
    }
    QuotaAllocator book = new QuotaAllocator();
    int seconds = 20;
    int warmUpSeconds = 10;
    int admittedInAll = 0;
    for (int step = 0; step < seconds * STEPS_PER_S; step++) {
      ticker.advance(1_000 / STEPS_PER_S);
      for (int i = 0; i < requestRates.length; i++) {
        int admitted = send(gateways.get(i), requestRates[i], step);
        admittedInAll += step >= warmUpSeconds * STEPS_PER_S ? admitted : 0;
      }
      if (step % (STEPS_PER_S / 2) == 0) {
        book = fault == Fault.OWNER_CHANGES && step % 300 == 0 ? new QuotaAllocator() : book;
        report(gateways, book, fault, step / (STEPS_PER_S / 2), ticker.millis());
      }
    }
    double perSecond = admittedInAll / (double) (seconds - warmUpSeconds);
    assertTrue(perSecond >= least && perSecond <= most, "admitted a second: " + perSecond);
  }

  private static int send(TeamLimiter limiter, double perSecond, int step) {
    int due =
        (int) Math.floor(perSecond * (step + 1) / STEPS_PER_S)
            - (int) Math.floor(perSecond * step / STEPS_PER_S);
    int admitted = 0;
    for (int i = 0; i < due; i++) {
      try {
        limiter.acquire("t", TEAM);
        limiter.release("t");
        admitted++;
      } catch (LandingtrackException e) {
        // Refused: the share is used up.
      }
    }
    return admitted;
  }

  private static void report(
      List<TeamLimiter> gateways, QuotaAllocator book, Fault fault, int round, long nowMs) {
    for (int i = 0; i < gateways.size(); i++) {
      TeamLimiter limiter = gateways.get(i);
      for (TeamLimiter.Demand demand : limiter.demands()) {
        if (fault == Fault.OWNER_GONE || (fault == Fault.LOSSES && round % 4 == 0)) {
          continue;
        }
        double share = book.report("t", "g" + i, demand.wantedShare(), gateways.size(), nowMs);
        if (fault != Fault.LOSSES || round % 4 != 2) {
          limiter.applyGrant(demand.team(), share);
        }
      }
    }
  }

  @Test
  public void theShareOfASilentGatewayIsReallocatedAfterItExpires() {
    QuotaAllocator book = new QuotaAllocator();
    long start = QuotaAllocator.VALID_MS;
    book.report("t", "g0", 1, 2, 0);
    double alone = book.report("t", "g0", 1, 2, start);
    book.report("t", "g1", 1, 2, start);
    assertEquals(book.report("t", "g0", 1, 2, start + QuotaAllocator.VALID_MS - 1), 0.5, 1e-9);
    assertEquals(book.report("t", "g0", 1, 2, start + QuotaAllocator.VALID_MS), alone, 1e-9);
  }

  /** Grants of the previous owner may still be in use. */
  @Test
  public void aNewOwnerGrantsEqualSharesUntilOldGrantsExpire() {
    QuotaAllocator book = new QuotaAllocator();
    assertEquals(book.report("t", "g0", 1, 4, 0), 0.25, 1e-9);
    assertEquals(book.report("t", "g0", 1, 4, QuotaAllocator.VALID_MS - 1), 0.25, 1e-9);
    assertTrue(book.report("t", "g0", 1, 4, QuotaAllocator.VALID_MS) > 0.5);
  }
}
