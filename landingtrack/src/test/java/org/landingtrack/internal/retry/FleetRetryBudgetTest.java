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
package org.landingtrack.internal.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import org.landingtrack.internal.loads.SimulatedVm;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.serving.ManualEventLoop;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks a retry budget that is shared by VMs whose load reports are some tenths of a second old.
 *
 * <p>Guards against budgets of single VMs: small VMs lacked retries while the budgets of others
 * were unused, and many VMs that had saved up retries together sent more than the budget of all.
 * The retries that reach the servers are counted in each sliding window.
 */
public final class FleetRetryBudgetTest {
  private static final RetryBudgetPolicy TERMS = new RetryBudgetPolicy(0.2, 188, 10_000);
  private static final long WARM_UP_MS = 25_000;
  private static final String SERVICE = "service";

  /** A fleet with callers, some of whose requests are retried. */
  private static final class Fleet {
    private final ManualEventLoop loop = new ManualEventLoop();
    private final Random random;
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final List<FleetRetryBudget> retries = new ArrayList<>();
    private final List<Long> requests = new ArrayList<>();
    private final List<Long> spent = new ArrayList<>();
    private double perSecond;
    private double failing;

    /** The share of requests that go to the first VM, in addition to its equal share. */
    private double firstVmShare;

    private IntPredicate failsAt = vm -> true;

    Fleet(int vmCount, double perSecond, long seed) {
      this.random = new Random(seed);
      this.perSecond = perSecond;
      for (int i = 0; i < vmCount; i++) {
        vms.add(new SimulatedVm(loop, i));
      }
      vms.forEach(vm -> vm.addCandidates(vms));
      for (SimulatedVm vm : vms) {
        retries.add(start(vm));
      }
      SimulatedVm.exchangeMessages(loop, vms, random);
      scheduleRequests();
      loop.advance(WARM_UP_MS);
    }

    private FleetRetryBudget start(SimulatedVm vm) {
      return new FleetRetryBudget(
          loop,
          TERMS,
          vm.peers()::maxVms,
          random.nextLong(),
          own -> vm.addTallies(TallyTopic.RETRIES, own));
    }

    void restart(int number) {
      vms.get(number).restart(vms);
      retries.set(number, start(vms.get(number)));
    }

    private void scheduleRequests() {
      loop.schedule(
          Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond),
          () -> {
            boolean isForFirst = firstVmShare > 0 && random.nextDouble() < firstVmShare;
            int vm = isForFirst ? 0 : random.nextInt(vms.size());
            requests.add(loop.millis());
            loop.schedule(vms.get(vm).suspensionMs(), () -> runRequest(vm));
            scheduleRequests();
          });
    }

    private void runRequest(int vm) {
      FleetRetryBudget budget = retries.get(vm);
      budget.recordRequest(SERVICE);
      boolean isRetried = random.nextDouble() < failing && failsAt.test(vm);
      if (isRetried && budget.tryRetry(SERVICE)) {
        spent.add(loop.millis());
      }
    }

    /** For a time, many running requests fail at some VMs while hardly any new ones arrive. */
    void failRunningRequests(IntPredicate at, long forMs) {
      for (long ms = 0; ms < forMs; ms += 100) {
        for (int vm = 0; vm < vms.size(); vm++) {
          for (int i = 0; at.test(vm) && i < 20; i++) {
            if (retries.get(vm).tryRetry(SERVICE)) {
              spent.add(loop.millis());
            }
          }
        }
        loop.advance(100);
      }
    }

    private int spentSince(long fromMs) {
      return count(spent, fromMs - 1, loop.millis());
    }

    private static int count(List<Long> times, long afterMs, long untilMs) {
      int count = 0;
      for (int i = times.size() - 1; i >= 0 && times.get(i) > afterMs; i--) {
        count += times.get(i) <= untilMs ? 1 : 0;
      }
      return count;
    }

    /** Checks the budget in each window that ends with a retry. */
    void expectBudgetKept(String what) {
      long windowMs = TERMS.windowMs();
      int first = 0;
      for (int last = 0; last < spent.size(); last++) {
        long endMs = spent.get(last);
        while (spent.get(first) <= endMs - windowMs) {
          first++;
        }
        int inWindow = last - first + 1;
        int asked = 0;
        for (long ago : new long[] {0, windowMs / 2, windowMs}) {
          asked = Math.max(asked, count(requests, endMs - ago - windowMs, endMs - ago));
        }
        double allowed = TERMS.retriesPerRequest() * asked + TERMS.extra();
        assertTrue(inWindow <= allowed, what + ": " + inWindow + " of " + allowed + " retries");
      }
    }
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{1, 50}, {2, 100}, {3, 20}, {9, 300}, {20, 90}, {74, 423}, {300, 900}};
  }

  /** Everything fails at once, and all VMs want to retry. */
  @Test(dataProvider = "fleets")
  public void aRetryStormStaysWithinTheBudgetAndUsesHalfOfIt(int vms, double perSecond) {
    Fleet fleet = new Fleet(vms, perSecond, vms);
    fleet.failing = 1;
    long fromMs = fleet.loop.millis();
    fleet.loop.advance(20_000);
    fleet.expectBudgetKept(vms + " VMs");
    // Each of the two windows has its own share of the requests and its own extra.
    double budget = 2 * (TERMS.retriesPerRequest() * perSecond * 10 + TERMS.extra());
    double asked = Math.min(budget, 20 * perSecond);
    assertTrue(fleet.spentSince(fromMs) >= asked / 2, fleet.spentSince(fromMs) + " of " + asked);
  }

  /** One VM uses a failing server; the others do not need their share. */
  @Test(dataProvider = "fleets")
  public void oneVmMayUseTheUnusedBudgetOfOthers(int vms, double perSecond) {
    Fleet fleet = new Fleet(vms, perSecond, vms);
    fleet.failing = 1;
    fleet.failsAt = vm -> vm == 0;
    long fromMs = fleet.loop.millis();
    fleet.loop.advance(20_000);
    fleet.expectBudgetKept(vms + " VMs");
    double budget = 2 * (TERMS.retriesPerRequest() * perSecond * 10 + TERMS.extra());
    double asked = Math.min(budget, 20 * perSecond / vms);
    assertTrue(fleet.spentSince(fromMs) >= asked / 2, fleet.spentSince(fromMs) + " of " + asked);
  }

  /** Most requests go to one VM, which uses a failing server. */
  @Test(dataProvider = "fleets")
  public void aBusyVmMayUseTheUnusedBudgetOfOthers(int vms, double perSecond) {
    Fleet fleet = new Fleet(vms, perSecond, vms);
    fleet.firstVmShare = 0.8;
    fleet.failing = 1;
    fleet.failsAt = vm -> vm == 0;
    long fromMs = fleet.loop.millis();
    fleet.loop.advance(20_000);
    fleet.expectBudgetKept(vms + " VMs");
    double budget = 2 * (TERMS.retriesPerRequest() * perSecond * 10 + TERMS.extra());
    double asked = Math.min(budget, 20 * perSecond * fleet.firstVmShare);
    assertTrue(fleet.spentSince(fromMs) >= asked / 2, fleet.spentSince(fromMs) + " of " + asked);
  }

  /** Many requests arrive at once and all fail, before the VMs learn of each other's retries. */
  @Test(dataProvider = "fleets")
  public void aFailingBurstStaysWithinTheBudget(int vms, double perSecond) {
    Fleet fleet = new Fleet(vms, perSecond / 5, vms);
    fleet.failing = 1;
    fleet.perSecond = 10_000;
    fleet.loop.advance(500);
    fleet.perSecond = perSecond;
    fleet.loop.advance(12_000);
    fleet.expectBudgetKept(vms + " VMs");
  }

  @Test(dataProvider = "fleets")
  public void simultaneousFailuresStayWithinTheBudget(int vms, double perSecond) {
    Fleet fleet = new Fleet(vms, perSecond / 5, vms);
    fleet.failRunningRequests(vm -> true, 3_000);
    fleet.expectBudgetKept(vms + " VMs");
  }

  /** All VMs lose power after they have spent the budget, and everything fails again later. */
  @Test
  public void aBurstOfRetriesIsNotSpentAgainAfterARestart() {
    Fleet fleet = new Fleet(40, 60, 14);
    fleet.failRunningRequests(vm -> true, 2_000);
    for (int i = 0; i < 40; i++) {
      fleet.restart(i);
    }
    fleet.loop.advance(5_500);
    fleet.failRunningRequests(vm -> true, 1_500);
    fleet.expectBudgetKept("after a restart of all VMs");
  }

  @Test
  public void aBurstOfRetriesOfSilentVmsIsNotSpentAgain() {
    Fleet fleet = new Fleet(40, 60, 15);
    fleet.failRunningRequests(vm -> vm < 20, 3_000);
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(i).partition(15_000, 0);
    }
    fleet.loop.advance(1_000);
    fleet.failRunningRequests(vm -> vm >= 20, 3_000);
    fleet.expectBudgetKept("other VMs after some stopped reporting");
  }

  /** The VMs that have retried are partitioned, and then the others want to retry. */
  @Test
  public void retriesOfSilentVmsAreNotSpentAgain() {
    Fleet fleet = new Fleet(40, 300, 13);
    fleet.failing = 1;
    fleet.failsAt = vm -> vm < 20;
    fleet.loop.advance(3_000);
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(i).partition(15_000, 0);
    }
    fleet.failsAt = vm -> vm >= 20;
    fleet.loop.advance(15_000);
    fleet.expectBudgetKept("other VMs after some stopped reporting");
  }

  /** One request in a hundred fails in normal operation: each should be retried at once. */
  @Test
  public void rareFailuresAreRetried() {
    Fleet fleet = new Fleet(74, 423, 5);
    fleet.failing = 0.01;
    long fromMs = fleet.loop.millis();
    fleet.loop.advance(20_000);
    long denied = fleet.retries.stream().mapToLong(FleetRetryBudget::denied).sum();
    int granted = fleet.spentSince(fromMs);
    assertTrue(denied <= granted / 20, denied + " denied, " + granted + " granted");
  }

  @DataProvider
  public Object[][] storms() {
    return new Object[][] {{2_000}, {5_000}};
  }

  /** All VMs lose power while they spend the whole budget, and restart without state. */
  @Test(dataProvider = "storms")
  public void retriesBeforeARestartAreNotSpentAgain(long stormMs) {
    Fleet fleet = new Fleet(74, 423, 6);
    fleet.failing = 1;
    fleet.loop.advance(stormMs);
    for (int i = 0; i < 74; i++) {
      fleet.restart(i);
    }
    fleet.loop.advance(30_000);
    fleet.expectBudgetKept("after a restart of all VMs");
    assertTrue(
        fleet.spentSince(fleet.loop.millis() - 10_000) > 300,
        "the budget is not used again after the restart");
  }

  @Test
  public void restartsInTurnStayWithinTheBudget() {
    Fleet fleet = new Fleet(40, 300, 7);
    fleet.failing = 1;
    for (int i = 0; i < 40; i++) {
      fleet.loop.advance(500);
      fleet.restart(i);
    }
    fleet.loop.advance(15_000);
    fleet.expectBudgetKept("VMs restart one after the other");
  }

  /**
   * VMs that restart one after the other report to each other what was spent, so that none waits
   * for a whole window.
   */
  @Test
  public void aVmThatStartsAmongOthersMayRetrySoon() {
    Fleet fleet = new Fleet(3, 60, 12);
    for (int i = 0; i < 3; i++) {
      fleet.restart(i);
      fleet.loop.advance(2_000);
    }
    fleet.loop.advance(5_000);
    for (FleetRetryBudget retries : fleet.retries) {
      assertTrue(retries.hasRetry(SERVICE));
    }
  }

  @Test
  public void isolatedVmsStayWithinTheBudget() {
    Fleet fleet = new Fleet(40, 300, 8);
    fleet.failing = 1;
    fleet.loop.advance(3_000);
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(i).partition(15_000, 0);
    }
    fleet.loop.advance(30_000);
    fleet.expectBudgetKept("half of the VMs partitioned");
  }

  @Test
  public void aPartitionedFleetStaysWithinTheBudget() {
    Fleet fleet = new Fleet(40, 300, 9);
    fleet.failing = 1;
    fleet.loop.advance(3_000);
    for (int i = 0; i < 40; i++) {
      fleet.vms.get(i).partition(15_000, 1 + i % 2);
    }
    fleet.loop.advance(30_000);
    fleet.expectBudgetKept("fleet split in two halves");
  }

  @Test
  public void suspendedVmsStayWithinTheBudget() {
    Fleet fleet = new Fleet(40, 300, 10);
    fleet.failing = 1;
    for (int i = 0; i < 40; i++) {
      fleet.loop.advance(500);
      fleet.vms.get(i).suspend(1_000 + 200L * (i % 20));
    }
    fleet.loop.advance(15_000);
    fleet.expectBudgetKept("VMs are suspended in turn");
  }

  @Test
  public void aVmThatStartsAloneHasNoRetriesForAWindow() {
    ManualEventLoop loop = new ManualEventLoop();
    SimulatedVm vm = new SimulatedVm(loop, 0);
    SimulatedVm.exchangeMessages(loop, List.of(vm), new Random(11));
    FleetRetryBudget retries =
        new FleetRetryBudget(
            loop, TERMS, vm.peers()::maxVms, 1, own -> vm.addTallies(TallyTopic.RETRIES, own));
    retries.recordRequest(SERVICE);
    assertEquals(retries.hasRetry(SERVICE), false);
    loop.advance(TERMS.windowMs() - 1_000);
    assertEquals(retries.hasRetry(SERVICE), false);
    loop.advance(2_000);
    assertEquals(retries.tryRetry(SERVICE), true);
  }
}
