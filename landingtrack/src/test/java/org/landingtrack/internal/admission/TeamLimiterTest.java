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
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.catalog.Team;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that teams' limits hold over all gateways, and that a team at its limit affects no other.
 */
public final class TeamLimiterTest {
  @DataProvider
  public Object[][] gateways() {
    return new Object[][] {{1}, {2}, {4}, {8}};
  }

  /** The sum over all gateways must not exceed the team's limit. */
  @Test(dataProvider = "gateways")
  public void theSharesOfAllGatewaysStayWithinTheLimit(int gateways) {
    Team team = new Team(List.of(), 80, 16, 1_000, 1);
    int admitted = 0;
    for (int g = 0; g < gateways; g++) {
      FakeTicker ticker = new FakeTicker();
      TeamLimiter limiter = new TeamLimiter(ticker);
      limiter.setGateways(gateways);
      for (int ms = 0; ms < 10_000; ms++) {
        ticker.advance(1);
        admitted += tryEnter(limiter, team) ? 1 : 0;
      }
    }
    assertTrue(admitted <= 80 * 10 + 16 + gateways, admitted + " requests admitted in 10 s");
    assertTrue(admitted >= 80 * 10 * 0.95, admitted + " requests admitted in 10 s");
  }

  private static boolean tryEnter(TeamLimiter limiter, Team team) {
    try {
      limiter.acquire("t", team);
      limiter.release("t");
      return true;
    } catch (LandingtrackException e) {
      return false;
    }
  }

  @Test
  public void aTeamAtItsLimitDoesNotAffectOthers() {
    TeamLimiter limiter = new TeamLimiter(new FakeTicker());
    Team team = new Team(List.of(), 1, 1, 1, 1);
    limiter.acquire("a", team);
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> limiter.acquire("a", team));
    assertEquals(e.kind(), ErrorKind.RATE_LIMITED);
    assertTrue(e.retryAfterSeconds() >= 1);
    limiter.acquire("b", team);
  }
}
