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

import java.util.ArrayDeque;
import java.util.Deque;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.SlidingWindowCounter;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.retry.RetryAllocation.BudgetView;

/** The retry budget of one service, as known to this VM. Not thread-safe. */
final class ServiceRetryBudget {
  private static final long SECOND_MS = 1_000;
  private static final long COUNT_SLOT_MS = 250;

  private static final int REQUESTS = 0;
  private static final int SPENT = 1;
  private static final int WANTED = 2;
  private static final int SPENT_LAST_SECOND = 3;
  private static final int VMS = 4;
  private static final int INFORMED = 5;
  private static final int SPENT_ESTIMATE = 6;

  /** This VM counts as having been suspended if its counts were not asked for during this time. */
  private static final long SUSPENDED_MS = 2_000;

  private final long service;
  private final RetryBudgetPolicy terms;
  private final long salt;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter spent;
  private final SlidingWindowCounter wanted = new SlidingWindowCounter(SECOND_MS, COUNT_SLOT_MS);
  private final Deque<Sample> wantedReported = new ArrayDeque<>();
  private final Deque<Sample> spentByAll = new ArrayDeque<>();
  private long sinceMs;
  private boolean informed;
  private long informedAtMs;
  private long inherited;
  private long reportedAtMs;
  private long slot = Long.MIN_VALUE;
  private int usedInSlot;
  private long denied;

  private record Sample(long atMs, long value) {}

  ServiceRetryBudget(long service, RetryBudgetPolicy terms, long sinceMs, long salt, long nowMs) {
    this.service = service;
    this.terms = terms;
    this.salt = salt;
    this.requests = new SlidingWindowCounter(terms.windowMs(), COUNT_SLOT_MS);
    this.spent = new SlidingWindowCounter(terms.windowMs(), COUNT_SLOT_MS);
    this.sinceMs = sinceMs;
    this.reportedAtMs = nowMs;
  }

  void recordRequest(long nowMs) {
    requests.add(1, nowMs);
  }

  /** Returns the counts of this VM for a round of load reports. */
  Tally report(Tally others, long nowMs) {
    if (nowMs - reportedAtMs > SUSPENDED_MS) {
      sinceMs = nowMs;
      informed = false;
      spentByAll.clear();
    }
    reportedAtMs = nowMs;
    long demand = wanted.sumRoundedUp(SECOND_MS, nowMs);
    wantedReported.add(new Sample(nowMs, demand));
    wantedReported.removeIf(sample -> nowMs - sample.atMs() > RetryAllocation.SLOT_MS);
    sampleSpent(others, nowMs);
    updateInformed(others, nowMs);
    return new Tally(
        service,
        requestsInWindow(nowMs),
        spent.sumRoundedUp(terms.windowMs(), nowMs),
        demand,
        spent.sumRoundedUp(SECOND_MS, nowMs),
        1,
        informed ? 1 : 0,
        informed ? estimateSpent(others, nowMs) : 0);
  }

  /**
   * Returns the requests in the window without those in a slot that is partly too old. Spent
   * retries in such a slot do count, so that the budget is rather too small than too large.
   */
  private long requestsInWindow(long nowMs) {
    return requests.sumRoundedDown(terms.windowMs(), nowMs);
  }

  private void sampleSpent(Tally others, long nowMs) {
    spentByAll.removeIf(sample -> nowMs - sample.atMs() > terms.windowMs());
    if (spentByAll.isEmpty() || nowMs - spentByAll.getLast().atMs() >= SECOND_MS) {
      spentByAll.add(new Sample(nowMs, spentLastSecond(others, nowMs)));
    }
  }

  private long spentLastSecond(Tally others, long nowMs) {
    return others.count(SPENT_LAST_SECOND) + spent.sumRoundedUp(SECOND_MS, nowMs);
  }

  /**
   * Marks this VM as informed once it knows how many retries were spent: after it has run for a
   * whole window, or as soon as it receives the estimates of informed VMs.
   */
  private void updateInformed(Tally others, long nowMs) {
    long informedVms = others.count(INFORMED);
    if (informed || (informedVms == 0 && nowMs - sinceMs <= terms.windowMs())) {
      return;
    }
    informed = true;
    informedAtMs = nowMs;
    inherited =
        informedVms == 0 ? 0 : (others.count(SPENT_ESTIMATE) + informedVms - 1) / informedVms;
  }

  /**
   * Returns an upper estimate of the retries that all VMs spent in the window. Retries of VMs that
   * no longer report are remembered as one sample for each second.
   */
  private long estimateSpent(Tally others, long nowMs) {
    long reported = others.count(SPENT) + spent.sumRoundedUp(terms.windowMs(), nowMs);
    long remembered = spentLastSecond(others, nowMs);
    for (Sample sample : spentByAll) {
      remembered += nowMs - sample.atMs() >= SECOND_MS ? sample.value() : 0;
    }
    boolean inherits = informed && nowMs - informedAtMs <= terms.windowMs();
    return Math.max(reported, remembered + (inherits ? inherited : 0));
  }

  /** Takes one retry; returns false if none is available now. */
  boolean tryRetry(Tally others, int vms, long nowMs) {
    wanted.add(1, nowMs);
    if (!hasRetry(others, vms, nowMs)) {
      denied++;
      return false;
    }
    spent.add(1, nowMs);
    usedInSlot++;
    return true;
  }

  /** Returns true if a retry would be granted now. */
  boolean hasRetry(Tally others, int vms, long nowMs) {
    long currentSlot = Math.floorDiv(nowMs, RetryAllocation.SLOT_MS);
    if (currentSlot != slot) {
      slot = currentSlot;
      usedInSlot = 0;
    }
    return usedInSlot < roundRandomly(slotAllowance(others, vms, nowMs));
  }

  private double slotAllowance(Tally others, int vms, long nowMs) {
    updateInformed(others, nowMs);
    if (!informed) {
      return 0;
    }
    long need = Long.MAX_VALUE;
    for (Sample sample : wantedReported) {
      need = Math.min(need, sample.value());
    }
    need = wantedReported.isEmpty() ? 0 : need;
    BudgetView view =
        new BudgetView(
            others.count(REQUESTS) + requestsInWindow(nowMs),
            estimateSpent(others, nowMs),
            need,
            others.count(WANTED) + need,
            (int) others.count(VMS) + 1,
            vms);
    return RetryAllocation.allowance(terms, view);
  }

  /**
   * Rounds the mean allowance of a slot up or down at random, with the same draw during the whole
   * slot. This VM's retries of the slot are already deducted from the remaining budget, but not
   * from the allowance that the slot began with.
   */
  private int roundRandomly(double mean) {
    int whole = (int) mean;
    double draw = Hashes.toUnitInterval(Hashes.combine(Hashes.combine(salt, slot), service));
    return draw < mean - whole ? whole + 1 : whole;
  }

  long denied() {
    return denied;
  }
}
