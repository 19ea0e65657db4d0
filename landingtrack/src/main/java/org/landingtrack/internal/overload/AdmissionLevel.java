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
package org.landingtrack.internal.overload;

import java.util.Arrays;

/**
 * Computes the share of a service's requests that is admitted, for each priority rank.
 *
 * <p>Handles demand above the capacity of the backend servers while many VMs admit requests and
 * know each other's load only with a delay of some hundred milliseconds. All VMs do the same
 * calculation on the same fleet-wide sums and so reach the same shares, and the admitted rate
 * follows the rate at which servers start requests. Not thread-safe; does no I/O.
 */
final class AdmissionLevel {
  /**
   * Target queue wait as a share of the service's latency target. The answer itself needs the rest
   * of the target; with a shorter queue, servers would run out of work between two rounds of load
   * reports.
   */
  private static final double TARGET_WAIT_SHARE = 0.25;

  private static final double MIN_TARGET_WAIT_MS = 50;

  /**
   * Requests are refused only if at least this share of the servers' capacity is in use. Below it,
   * the servers can take more.
   */
  private static final double MIN_OVERLOAD_UTILIZATION = 0.5;

  /**
   * No more requests are admitted at a queue wait of this share of the latency target, because they
   * would be answered late.
   */
  private static final double MAX_WAIT_SHARE = 0.6;

  /**
   * Time over which a queue below its target length is refilled: three times the age of the load
   * reports. With a shorter time the queue length would oscillate.
   */
  private static final double REFILL_MS = 900;

  /**
   * Each rank's target queue length assumes that more urgent ranks leave it at least this share of
   * the servers' capacity.
   */
  private static final double MIN_FREE_SHARE = 0.1;

  /**
   * Share of the usual target queue length that is used while late requests wait. Late requests are
   * queued behind all others, so they are served only if the queue before them is shorter.
   */
  private static final double TARGET_SHARE_WITH_LATE = 0.25;

  /** The estimated capacity of servers that lack work doubles within about this time. */
  private static final double CAPACITY_DOUBLING_MS = 1_000;

  private static final long MAX_STEP_MS = 200;

  /**
   * Upper bound of the estimated capacity, as a multiple of the rate at which servers are seen to
   * start requests.
   */
  private static final double MAX_CAPACITY_FACTOR = 2;

  /** Late requests get the capacity to be answered within this time, well before most deadlines. */
  private static final double LATE_DRAIN_MS = 4_000;

  /**
   * All demand must fit for this time before an overload ends. Longer than load reports take to
   * arrive.
   */
  private static final long RECOVERY_MS = 300;

  /** An overload ends once the queue wait is below this share of the wait that starts one. */
  private static final double RECOVERY_WAIT_SHARE = 0.5;

  /**
   * Each rank is admitted at least at this share of the average over all requests, so that the
   * least urgent rank is not starved.
   */
  private static final double MIN_RANK_SHARE = 0.35;

  private static final int BISECTION_STEPS = 10;

  /** Share of a rank's capacity that client retries get before first attempts. */
  private static final double RETRY_SHARE = 0.125;

  /**
   * Client retries get the capacity that first attempts leave, less a reserve of this share of the
   * rate of first attempts. The reserve covers their growth in the next moment: ten requests in
   * {@link Conditions#ARRIVAL_WINDOW_MS} vary by that much at times.
   */
  private static final double GROWTH_RESERVE = 0.6;

  private static final double MS_A_SECOND = 1_000;
  private static final double PERCENT = 100;

  /** Shares above this value count as 1, to allow for rounding. */
  private static final double ALMOST_ALL = 1 - 1e-9;

  private double targetWaitMs;
  private double maxWaitMs;
  private final double[] firstAttemptShares = new double[Demand.RANKS];
  private final double[] retryShares = new double[Demand.RANKS];

  /**
   * Queue wait of a rank together with all more urgent ones, in milliseconds of server capacity.
   */
  private final double[] queueWaitsMs = new double[Demand.RANKS];

  private final double[] expectedWaitsMs = new double[Demand.RANKS];
  private double capacity;
  private long measuredAtMs;
  private long busyAtMs;
  private double latePerMs;
  private double usedShare;
  private boolean isOverloaded;
  private boolean isGrowing;
  private long fitsSinceMs = Long.MAX_VALUE;

  /** Creates a level that admits all requests. */
  AdmissionLevel() {
    reset();
  }

  private void reset() {
    isOverloaded = false;
    isGrowing = false;
    fitsSinceMs = Long.MAX_VALUE;
    Arrays.fill(expectedWaitsMs, 0);
    Arrays.fill(firstAttemptShares, 1);
    Arrays.fill(retryShares, 1);
  }

  /**
   * Recomputes the admitted shares from the current demand.
   *
   * @param demand the fleet-wide demand
   * @param utilization the share of the servers' capacity that is in use
   * @param targetMs the latency target of the service's most urgent requests
   * @param nowMs the current time
   */
  void update(Demand demand, double utilization, long targetMs, long nowMs) {
    targetWaitMs = Math.max(MIN_TARGET_WAIT_MS, targetMs * TARGET_WAIT_SHARE);
    maxWaitMs = Math.max(2 * targetWaitMs, targetMs * MAX_WAIT_SHARE);
    usedShare = utilization;
    double queued = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      queued += demand.waiting(rank);
      queueWaitsMs[rank] = queued;
    }
    estimateCapacity(demand.startedPerMs(), queued, nowMs);
    if (capacity <= 0) {
      reset();
      return;
    }
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      queueWaitsMs[rank] /= capacity;
    }
    latePerMs = demand.late() / LATE_DRAIN_MS;
    double totalWaitMs = queueWaitsMs[Demand.RANKS - 1];
    boolean isBusy = utilization >= MIN_OVERLOAD_UTILIZATION;
    isOverloaded |= isBusy && totalWaitMs > targetWaitMs;
    busyAtMs = isBusy ? nowMs : busyAtMs;
    boolean hasSpareCapacity = !isBusy && (queued <= 0 || nowMs - busyAtMs >= RECOVERY_MS);
    if (!isOverloaded || hasSpareCapacity) {
      reset();
      return;
    }
    boolean fits = computeShares(demand) && totalWaitMs < targetWaitMs * RECOVERY_WAIT_SHARE;
    fitsSinceMs = fits ? Math.min(fitsSinceMs, nowMs) : Long.MAX_VALUE;
    if (fits && nowMs - fitsSinceMs >= RECOVERY_MS) {
      reset();
    }
  }

  /**
   * Estimates the servers' capacity. The rate at which servers start requests shows their capacity
   * only while they have enough work. Otherwise they can do more, so the estimate is raised step by
   * step until it shows how much.
   */
  private void estimateCapacity(double begunPerMs, double queued, long nowMs) {
    long elapsedMs = Math.min(MAX_STEP_MS, nowMs - measuredAtMs);
    measuredAtMs = nowMs;
    boolean lacksWork = isOverloaded && queued < begunPerMs * targetWaitMs * RECOVERY_WAIT_SHARE;
    double grown =
        Math.min(
            capacity * (1 + elapsedMs / CAPACITY_DOUBLING_MS), begunPerMs * MAX_CAPACITY_FACTOR);
    capacity = lacksWork ? Math.max(begunPerMs, grown) : begunPerMs;
  }

  /**
   * Computes the shares of all ranks, the most urgent first; returns true if all requests fit. The
   * floor depends on the average share, which depends on the floor, so it is found by bisection.
   */
  private boolean computeShares(Demand demand) {
    double low = 0;
    double high = MIN_RANK_SHARE;
    boolean fits = true;
    for (int i = 0; i < BISECTION_STEPS; i++) {
      double floor = (low + high) / 2;
      fits = computeShares(demand, floor);
      if (floor < MIN_RANK_SHARE * averageAdmittedShare(demand)) {
        low = floor;
      } else {
        high = floor;
      }
    }
    return fits;
  }

  private boolean computeShares(Demand demand, double floor) {
    double arriving = 0;
    double arrivingFirstAttempts = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      arrivingFirstAttempts += demand.firstAttemptsPerMs(rank);
      arriving += demand.firstAttemptsPerMs(rank) + demand.retriesPerMs(rank);
    }
    isGrowing = arriving > capacity;
    double admitted = 0;
    double moreUrgentShare = 1;
    double lessUrgent = arriving;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      double firstAttempts = demand.firstAttemptsPerMs(rank);
      double retries = demand.retriesPerMs(rank);
      lessUrgent -= firstAttempts + retries;
      double available =
          Math.max(0, admissibleRate(rank, admitted) - admitted - floor * lessUrgent);
      retryShares[rank] = admittedShare(available * RETRY_SHARE, retries, floor);
      firstAttemptShares[rank] =
          Math.min(
              moreUrgentShare,
              admittedShare(available - retries * retryShares[rank], firstAttempts, floor));
      moreUrgentShare = firstAttemptShares[rank];
      admitted += firstAttempts * firstAttemptShares[rank] + retries * retryShares[rank];
    }
    double remaining =
        admissibleRate(Demand.RANKS - 1, admitted)
            - admitted
            - GROWTH_RESERVE * arrivingFirstAttempts;
    return addRetries(demand, moreUrgentShare >= 1 ? remaining : 0) && moreUrgentShare >= 1;
  }

  /**
   * Gives the capacity that first attempts leave to client retries; returns true if all retries
   * fit.
   */
  private boolean addRetries(Demand demand, double available) {
    double remaining = available;
    boolean fits = true;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      double retries = demand.retriesPerMs(rank);
      double added = Math.max(0, Math.min(remaining, retries * (1 - retryShares[rank])));
      remaining -= added;
      retryShares[rank] = retries <= 0 ? retryShares[rank] : retryShares[rank] + added / retries;
      fits &= retries <= 0 || retryShares[rank] > ALMOST_ALL;
    }
    return fits;
  }

  /** Returns the share of all requests that is admitted, by number and not by size. */
  private double averageAdmittedShare(Demand demand) {
    double all = 0;
    double admitted = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      all += demand.requests(rank);
      admitted += demand.requests(rank) * firstAttemptShares[rank];
    }
    return all <= 0 ? 1 : admitted / all;
  }

  /**
   * Returns the rate at which a rank and all more urgent ones may be admitted: the servers'
   * capacity, corrected by what brings the queue to its target length. More urgent requests that
   * arrive later are served first, so a rank's queue is served only from the capacity that they
   * leave.
   *
   * @param admitted the rate that is admitted of more urgent ranks
   */
  private double admissibleRate(int rank, double admitted) {
    double freeShare = Math.max(MIN_FREE_SHARE, 1 - admitted / capacity);
    double targetQueueMs = targetWaitMs * freeShare * (latePerMs > 0 ? TARGET_SHARE_WITH_LATE : 1);
    double missingMs = targetQueueMs - queueWaitsMs[rank];
    double correction =
        missingMs / (missingMs > 0 ? REFILL_MS : maxWaitMs * freeShare - targetQueueMs);
    expectedWaitsMs[rank] = queueWaitsMs[rank] / freeShare;
    return Math.max(0, capacity * (1 + correction) - latePerMs);
  }

  private static double admittedShare(double available, double arriving, double floor) {
    if (arriving <= 0) {
      return available > 0 ? 1 : floor;
    }
    return Math.min(1, Math.max(floor, available / arriving));
  }

  /** Returns true while the service is overloaded, so that requests may be refused. */
  boolean isOverloaded() {
    return isOverloaded;
  }

  /** Returns true while requests arrive faster than servers can start them. */
  boolean isGrowing() {
    return isGrowing;
  }

  /**
   * Returns the admitted share of a rank's requests, from 0 to 1.
   *
   * @param isRetry true for the share of client retries, false for that of first attempts
   */
  double admittedShare(int rank, boolean isRetry) {
    return isRetry ? retryShares[rank] : firstAttemptShares[rank];
  }

  /**
   * Returns how long a request of a rank that arrives now waits until a server starts it; 0 without
   * overload.
   */
  double waitMs(int rank) {
    return expectedWaitsMs[rank];
  }

  /** Returns the measured values that the shares are computed from, for the log. */
  String describe() {
    return String.format(
        "wait %d ms, %d%% of the room taken, %d begun a second",
        Math.round(capacity <= 0 ? 0 : queueWaitsMs[Demand.RANKS - 1]),
        Math.round(usedShare * PERCENT),
        Math.round(capacity * MS_A_SECOND));
  }
}
