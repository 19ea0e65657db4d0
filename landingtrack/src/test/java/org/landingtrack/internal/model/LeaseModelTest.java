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
package org.landingtrack.internal.model;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.model.ScheduleExplorer.Action;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores two processes that compete for a lease, under all schedules of steps, restarts,
 * releases, passing time, lost writes and platform outages. There are never two holders, and no
 * epoch is held twice.
 */
public final class LeaseModelTest {
  private static final long DURATION_MS = 1_000;

  /** Rate of the second process's clock relative to the first, within the lease's drift margin. */
  private static final double ALLOWED_DRIFT = 1.05;

  private static final class LeaseModel implements ScheduleExplorer.Model {
    private final FakeObjectApi api = new FakeObjectApi();
    private final FakeTicker clockA = new FakeTicker();
    private final FakeTicker clockB = new FakeTicker();
    private final double drift;
    private final Map<Long, Lease> holderByEpoch = new HashMap<>();
    private long highestEpoch;
    private long heldByAMs;
    private long heldByBMs;
    private Lease a = new Lease(api, clockA, clockA::millis, "duty", "a", DURATION_MS);
    private Lease b = new Lease(api, clockB, clockB::millis, "duty", "b", DURATION_MS);
    private boolean platformDown;

    LeaseModel(double drift) {
      this.drift = drift;
    }

    @Override
    public List<Action> actions() {
      return List.of(
          new Action("a steps", () -> a.acquireOrRenew()),
          new Action("b steps", () -> b.acquireOrRenew()),
          new Action("b observes the lease", () -> b.observe()),
          new Action("0.3 of the lease duration passes", () -> advanceClocks(300)),
          new Action("1.15 of the lease duration passes", () -> advanceClocks(1_150)),
          new Action(
              "the answer of the next write is lost", () -> api.failWrites(Fault.LOST_ANSWER)),
          new Action("the next write is lost", () -> api.failWrites(Fault.LOST_CALL)),
          new Action("the platform fails or recovers", this::toggleOutage),
          new Action("a releases", () -> a.release()),
          new Action(
              "a restarts",
              () -> a = new Lease(api, clockA, clockA::millis, "duty", "a", DURATION_MS)));
    }

    private void toggleOutage() {
      platformDown = !platformDown;
      api.outage(platformDown);
    }

    private void advanceClocks(long ms) {
      clockA.advance(ms);
      clockB.advance((long) (ms * drift));
    }

    @Override
    public void checkInvariants() {
      boolean both = a.token().isPresent() && b.token().isPresent();
      assertFalse(both, "two holders");
      checkEpoch(a);
      checkEpoch(b);
      checkHoldingTimes();
    }

    /**
     * Checks that {@link Lease#previousHolderUntilWaitMs} of the holder is never earlier, by the
     * holder's own clock, than the time until which the other process held the lease.
     */
    private void checkHoldingTimes() {
      if (a.token().isPresent()) {
        heldByAMs = clockB.millis();
        assertTrue(heldByBMs == 0 || heldByBMs <= a.previousHolderUntilWaitMs(), "b held longer");
      }
      if (b.token().isPresent()) {
        heldByBMs = clockA.millis();
        assertTrue(heldByAMs == 0 || heldByAMs <= b.previousHolderUntilWaitMs(), "a held longer");
      }
    }

    private void checkEpoch(Lease lease) {
      OptionalLong token = lease.token();
      if (token.isEmpty()) {
        return;
      }
      long epoch = token.getAsLong();
      Lease previous = holderByEpoch.putIfAbsent(epoch, lease);
      assertTrue(previous == null || previous == lease, "epoch " + epoch + " is held twice");
      assertTrue(epoch >= highestEpoch, "epoch " + epoch + " after " + highestEpoch);
      highestEpoch = epoch;
    }
  }

  @Test
  public void everyShortScheduleKeepsOneHolder() {
    int schedules = ScheduleExplorer.exploreAll(() -> new LeaseModel(ALLOWED_DRIFT), 6);
    assertTrue(schedules == 1_000_000, "schedules: " + schedules);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void longSchedulesKeepOneHolder(long seed) {
    ScheduleExplorer.exploreRandom(() -> new LeaseModel(ALLOWED_DRIFT), seed, 2_000, 60);
  }

  /**
   * Verifies that the invariants detect a fault: with clock drift far outside the margin, the
   * exploration finds two holders.
   */
  @Test
  public void excessiveClockDriftIsDetected() {
    AssertionError error =
        expectThrows(
            AssertionError.class,
            () -> ScheduleExplorer.exploreRandom(() -> new LeaseModel(4), 1, 2_000, 60));
    assertTrue(String.valueOf(error.getMessage()).contains("two holders"), error.getMessage());
  }
}
