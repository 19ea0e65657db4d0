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
package org.landingtrack.internal.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.landingtrack.internal.platform.ObjectApi;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the acquisition, renewal, expiry and epochs of a lease, also with a faulty store. */
public final class LeaseTest {
  private static final long DURATION_MS = 1_000;

  private final FakeObjectApi api = new FakeObjectApi();

  private Lease lease(FakeObjectApi store, FakeTicker ticker, String self) {
    return new Lease(store, ticker, ticker::millis, "duty", self, DURATION_MS);
  }

  @Test
  public void holderStopsBeforeOthersMayTakeOver() {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    Lease a = lease(store, ticker, "a");
    Lease b = lease(store, ticker, "b");
    a.acquireOrRenew();
    b.acquireOrRenew();
    assertTrue(a.token().isPresent());
    store.outage(true);
    ticker.advance(600);
    assertTrue(a.token().isEmpty(), "held after its share of the duration");
    store.outage(false);
    ticker.advance(400);
    b.acquireOrRenew();
    assertTrue(b.token().isEmpty(), "taken over before the end of the drift margin");
    ticker.advance(200);
    b.acquireOrRenew();
    assertEquals(b.token(), OptionalLong.of(2));
  }

  /**
   * A holder that was suspended beyond the end of its lease must neither use nor renew the old
   * epoch.
   */
  @Test
  public void pausedHolderResumesWithoutLease() {
    FakeTicker clockA = new FakeTicker();
    FakeTicker clockB = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    Lease a = lease(store, clockA, "a");
    Lease b = lease(store, clockB, "b");
    a.acquireOrRenew();
    b.acquireOrRenew();
    clockB.advance(1_200);
    b.acquireOrRenew();
    assertEquals(b.token(), OptionalLong.of(2));
    clockA.advance(1_200);
    assertTrue(a.token().isEmpty());
    a.acquireOrRenew();
    assertTrue(a.token().isEmpty());
  }

  @DataProvider
  public Object[][] lostWrites() {
    return new Object[][] {
      {new Fault[] {Fault.LOST_ANSWER}},
      {new Fault[] {Fault.LOST_CALL}},
      {new Fault[] {Fault.REJECTED}},
      {new Fault[] {Fault.LOST_ANSWER, Fault.LOST_ANSWER}},
      {new Fault[] {Fault.LOST_ANSWER, Fault.LOST_CALL, Fault.REJECTED}},
    };
  }

  /** A write without an answer does not count, whether or not it took effect. */
  @Test(dataProvider = "lostWrites")
  public void unansweredWriteDoesNotGrantLease(Fault[] faults) {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    store.failWrites(faults);
    Lease a = lease(store, ticker, "a");
    for (int i = 0; i < faults.length; i++) {
      a.acquireOrRenew();
      assertFalse(a.token().isPresent(), "held after a write without an answer");
    }
    for (int i = 0; i < 20 && a.token().isEmpty(); i++) {
      ticker.advance(200);
      a.acquireOrRenew();
    }
    assertTrue(a.token().isPresent(), "the lease was not acquired after the faults");
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{11L}, {12L}, {13L}, {14L}, {15L}, {16L}};
  }

  /** Never two holders at once, and no epoch is used by two holders, whatever fails. */
  @Test(dataProvider = "seeds")
  public void atMostOneHolderUnderRandomFaults(long seed) {
    Random random = new Random(seed);
    FakeObjectApi store = new FakeObjectApi();
    FakeTicker ticker = new FakeTicker();
    List<Lease> leases = new ArrayList<>();
    List<Long> lastEpoch = new ArrayList<>();
    long[] lastHeldMs = new long[4];
    Arrays.fill(lastHeldMs, Long.MIN_VALUE);
    for (int i = 0; i < 4; i++) {
      leases.add(lease(store, ticker, "vm-" + i));
      lastEpoch.add(-1L);
    }
    int heldSteps = 0;
    for (int step = 0; step < 2_000; step++) {
      if (random.nextInt(10) == 0) {
        store.failWrites(Fault.values()[random.nextInt(3)]);
      }
      ticker.advance(random.nextInt(150));
      // Some processes make no step for a long time, as if suspended.
      int index = random.nextInt(random.nextInt(4) + 1);
      if (random.nextInt(8) == 0) {
        leases.get(index).observe();
      } else {
        leases.get(index).acquireOrRenew();
      }
      int holders = 0;
      for (int i = 0; i < leases.size(); i++) {
        OptionalLong token = leases.get(i).token();
        if (token.isPresent()) {
          holders++;
          lastHeldMs[i] = ticker.millis();
          for (int other = 0; other < leases.size(); other++) {
            assertTrue(
                other == i
                    || lastEpoch.get(other) < token.getAsLong()
                    || lastEpoch.get(other) > token.getAsLong(),
                "two processes held the same epoch");
            assertTrue(
                other == i
                    || lastEpoch.get(i) == token.getAsLong()
                    || lastHeldMs[other] <= leases.get(i).previousHolderUntilWaitMs(),
                "the previous holder held the lease longer than the next one assumes");
          }
          lastEpoch.set(i, token.getAsLong());
        }
      }
      heldSteps += holders;
      assertTrue(holders <= 1, "two holders at step " + step);
    }
    assertTrue(heldSteps > 0, "no process ever held the lease");
  }

  @Test
  public void releasedLeaseIsAcquiredAtOnceWithNewEpoch() {
    FakeTicker ticker = new FakeTicker();
    Lease a = lease(api, ticker, "a");
    Lease b = lease(api, ticker, "b");
    a.acquireOrRenew();
    a.release();
    b.acquireOrRenew();
    assertEquals(b.token(), OptionalLong.of(2));
  }

  @Test
  public void newHolderKnowsEndOfPreviousTerm() {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    Lease a = lease(store, ticker, "a");
    Lease b = lease(store, ticker, "b");
    a.acquireOrRenew();
    assertEquals(a.previousHolderUntilWaitMs(), Long.MIN_VALUE);
    long seenMs = ticker.millis();
    b.acquireOrRenew();
    ticker.advance(1_200);
    b.acquireOrRenew();
    assertEquals(b.previousHolderUntilWaitMs(), seenMs + 660);
  }

  @Test
  public void observedReleaseEndsPreviousTerm() {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    Lease a = lease(store, ticker, "a");
    Lease b = lease(store, ticker, "b");
    a.acquireOrRenew();
    a.release();
    long seenMs = ticker.millis();
    b.observe();
    assertTrue(b.token().isEmpty(), "reading the record acquired the lease");
    ticker.advance(10_000);
    b.acquireOrRenew();
    assertEquals(b.token(), OptionalLong.of(2));
    assertEquals(b.previousHolderUntilWaitMs(), seenMs);
  }

  /** A process that restarts must not continue under its old epoch. */
  @Test
  public void restartedHolderGetsNewEpoch() {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    lease(store, ticker, "a").acquireOrRenew();
    Lease restarted = lease(store, ticker, "a");
    restarted.acquireOrRenew();
    assertTrue(restarted.token().isEmpty());
    ticker.advance(1_200);
    restarted.acquireOrRenew();
    assertEquals(restarted.token(), OptionalLong.of(2));
  }

  @DataProvider
  public Object[][] oddRecords() {
    return new Object[][] {
      {"null"},
      {"[]"},
      {"{\"holder\":null,\"epoch\":1,\"durationMs\":1000,\"renewals\":0}"},
      {"{\"holder\":\"a\",\"epoch\":9223372036854775807,\"durationMs\":1000,\"renewals\":0}"},
      {"{\"holder\":\"b\",\"epoch\":1,\"durationMs\":9223372036854775807,\"renewals\":0}"},
      {"{\"epoch\":" + "9".repeat(5_000) + "}"},
      {"[".repeat(100_000)},
    };
  }

  /** Guards against an odd record that ends the duty of a lease for ever. */
  @Test(dataProvider = "oddRecords")
  public void leaseWithAnOddRecordIsTakenOverWithAHigherEpoch(String odd) {
    FakeTicker ticker = new FakeTicker();
    FakeObjectApi store = new FakeObjectApi();
    Lease a = lease(store, ticker, "a");
    a.acquireOrRenew();
    long before = a.token().orElseThrow();
    store.write(ObjectApi.CallClass.LEASE, "leases/duty", odd, 1);
    Lease b = lease(store, ticker, "b");
    b.acquireOrRenew();
    a.acquireOrRenew();
    assertTrue(b.token().isEmpty(), "taken over while another may hold it");
    ticker.advance(1_200);
    b.acquireOrRenew();
    assertTrue(b.token().orElseThrow() > before);
    assertTrue(a.token().isEmpty());
  }
}
