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
  private static final double LINE_SHARE = 0.25;

  private static final double LEAST_LINE_MS = 50;

  /**
   * Requests are refused only if at least this share of the servers' capacity is in use. Below it,
   * the servers can take more.
   */
  private static final double LEAST_TAKEN = 0.5;

  /**
   * No more requests are admitted at a queue wait of this share of the latency target, because they
   * would be answered late.
   */
  private static final double LONGEST_LINE_SHARE = 0.6;

  /**
   * Time over which a queue below its target length is refilled: three times the age of the load
   * reports. With a shorter time the queue length would oscillate.
   */
  private static final double SETTLE_MS = 900;

  /**
   * Each rank's target queue length assumes that more urgent ranks leave it at least this share of
   * the servers' capacity.
   */
  private static final double LEAST_FREE = 0.1;

  /**
   * Share of the usual target queue length that is used while late requests wait. Late requests are
   * queued behind all others, so they are served only if the queue before them is shorter.
   */
  private static final double GOAL_SHARE_WITH_LATE = 0.25;

  /** The estimated capacity of servers that lack work doubles within about this time. */
  private static final double GROW_MS = 1_000;

  private static final long LONGEST_STEP_MS = 200;

  /**
   * Upper bound of the estimated capacity, as a multiple of the rate at which servers are seen to
   * start requests.
   */
  private static final double MOST_UNTRIED = 2;

  /** Late requests get the capacity to be answered within this time, well before most deadlines. */
  private static final double SETTLE_LATE_MS = 4_000;

  /**
   * All demand must fit for this time before an overload ends. Longer than load reports take to
   * arrive.
   */
  private static final long CALM_MS = 300;

  /** An overload ends once the queue wait is below this share of the wait that starts one. */
  private static final double CALM_LINE_SHARE = 0.5;

  /**
   * Each rank is admitted at least at this share of the average over all requests, so that the
   * least urgent rank is not starved.
   */
  private static final double FLOOR = 0.35;

  private static final int FLOOR_STEPS = 10;

  /** Share of a rank's capacity that client retries get before first attempts. */
  private static final double RETURN_SHARE = 0.125;

  /**
   * Client retries get the capacity that first attempts leave, less a reserve of this share of the
   * rate of first attempts. The reserve covers their growth in the next moment: ten requests in
   * {@link Demand#ARRIVED_MS} vary by that much at times.
   */
  private static final double GROWTH_OF_NEW = 0.6;

  private static final double MS_A_SECOND = 1_000;
  private static final double PERCENT = 100;

  /** Shares above this value count as 1, to allow for rounding. */
  private static final double ALMOST_ALL = 1 - 1e-9;

  private double lineMs;
  private double longestLineMs;
  private final double[] fresh = new double[Demand.RANKS];
  private final double[] returning = new double[Demand.RANKS];

  /**
   * Queue wait of a rank together with all more urgent ones, in milliseconds of server capacity.
   */
  private final double[] lines = new double[Demand.RANKS];

  private final double[] waits = new double[Demand.RANKS];
  private double capacity;
  private long measuredAtMs;
  private long takenAtMs;
  private double latePerMs;
  private double takenShare;
  private boolean isShort;
  private boolean isGrowing;
  private long fitsSinceMs = Long.MAX_VALUE;

  /** Creates a level that admits all requests. */
  AdmissionLevel() {
    lift();
  }

  private void lift() {
    isShort = false;
    isGrowing = false;
    fitsSinceMs = Long.MAX_VALUE;
    Arrays.fill(waits, 0);
    Arrays.fill(fresh, 1);
    Arrays.fill(returning, 1);
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
    lineMs = Math.max(LEAST_LINE_MS, targetMs * LINE_SHARE);
    longestLineMs = Math.max(2 * lineMs, targetMs * LONGEST_LINE_SHARE);
    takenShare = utilization;
    double queued = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      queued += demand.waiting(rank);
      lines[rank] = queued;
    }
    measure(demand.begunPerMs(), queued, nowMs);
    if (capacity <= 0) {
      lift();
      return;
    }
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      lines[rank] /= capacity;
    }
    latePerMs = demand.late() / SETTLE_LATE_MS;
    double totalWaitMs = lines[Demand.RANKS - 1];
    boolean isBusy = utilization >= LEAST_TAKEN;
    isShort |= isBusy && totalWaitMs > lineMs;
    takenAtMs = isBusy ? nowMs : takenAtMs;
    boolean hasSpareCapacity = !isBusy && (queued <= 0 || nowMs - takenAtMs >= CALM_MS);
    if (!isShort || hasSpareCapacity) {
      lift();
      return;
    }
    boolean fits = divide(demand) && totalWaitMs < lineMs * CALM_LINE_SHARE;
    fitsSinceMs = fits ? Math.min(fitsSinceMs, nowMs) : Long.MAX_VALUE;
    if (fits && nowMs - fitsSinceMs >= CALM_MS) {
      lift();
    }
  }

  /**
   * Estimates the servers' capacity. The rate at which servers start requests shows their capacity
   * only while they have enough work. Otherwise they can do more, so the estimate is raised step by
   * step until it shows how much.
   */
  private void measure(double begunPerMs, double queued, long nowMs) {
    long elapsedMs = Math.min(LONGEST_STEP_MS, nowMs - measuredAtMs);
    measuredAtMs = nowMs;
    boolean lacksWork = isShort && queued < begunPerMs * lineMs * CALM_LINE_SHARE;
    double grown = Math.min(capacity * (1 + elapsedMs / GROW_MS), begunPerMs * MOST_UNTRIED);
    capacity = lacksWork ? Math.max(begunPerMs, grown) : begunPerMs;
  }

  /**
   * Computes the shares of all ranks, the most urgent first; returns true if all requests fit. The
   * floor depends on the average share, which depends on the floor, so it is found by bisection.
   */
  private boolean divide(Demand demand) {
    double low = 0;
    double high = FLOOR;
    boolean fits = true;
    for (int i = 0; i < FLOOR_STEPS; i++) {
      double floor = (low + high) / 2;
      fits = divide(demand, floor);
      if (floor < FLOOR * average(demand)) {
        low = floor;
      } else {
        high = floor;
      }
    }
    return fits;
  }

  private boolean divide(Demand demand, double floor) {
    double arriving = 0;
    double arrivingFirstAttempts = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      arrivingFirstAttempts += demand.freshPerMs(rank);
      arriving += demand.freshPerMs(rank) + demand.returningPerMs(rank);
    }
    isGrowing = arriving > capacity;
    double admitted = 0;
    double moreUrgentShare = 1;
    double lessUrgent = arriving;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      double firstAttempts = demand.freshPerMs(rank);
      double retries = demand.returningPerMs(rank);
      lessUrgent -= firstAttempts + retries;
      double available = Math.max(0, budget(rank, admitted) - admitted - floor * lessUrgent);
      returning[rank] = part(available * RETURN_SHARE, retries, floor);
      fresh[rank] =
          Math.min(
              moreUrgentShare, part(available - retries * returning[rank], firstAttempts, floor));
      moreUrgentShare = fresh[rank];
      admitted += firstAttempts * fresh[rank] + retries * returning[rank];
    }
    double remaining =
        budget(Demand.RANKS - 1, admitted) - admitted - GROWTH_OF_NEW * arrivingFirstAttempts;
    return addReturns(demand, moreUrgentShare >= 1 ? remaining : 0) && moreUrgentShare >= 1;
  }

  /**
   * Gives the capacity that first attempts leave to client retries; returns true if all retries
   * fit.
   */
  private boolean addReturns(Demand demand, double available) {
    double remaining = available;
    boolean fits = true;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      double retries = demand.returningPerMs(rank);
      double added = Math.max(0, Math.min(remaining, retries * (1 - returning[rank])));
      remaining -= added;
      returning[rank] = retries <= 0 ? returning[rank] : returning[rank] + added / retries;
      fits &= retries <= 0 || returning[rank] > ALMOST_ALL;
    }
    return fits;
  }

  /** Returns the share of all requests that is admitted, by number and not by size. */
  private double average(Demand demand) {
    double all = 0;
    double admitted = 0;
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      all += demand.requests(rank);
      admitted += demand.requests(rank) * fresh[rank];
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
  private double budget(int rank, double admitted) {
    double freeShare = Math.max(LEAST_FREE, 1 - admitted / capacity);
    double targetQueueMs = lineMs * freeShare * (latePerMs > 0 ? GOAL_SHARE_WITH_LATE : 1);
    double missingMs = targetQueueMs - lines[rank];
    double correction =
        missingMs / (missingMs > 0 ? SETTLE_MS : longestLineMs * freeShare - targetQueueMs);
    waits[rank] = lines[rank] / freeShare;
    return Math.max(0, capacity * (1 + correction) - latePerMs);
  }

  private static double part(double available, double arriving, double floor) {
    if (arriving <= 0) {
      return available > 0 ? 1 : floor;
    }
    return Math.min(1, Math.max(floor, available / arriving));
  }

  /** Returns true while the service is overloaded, so that requests may be refused. */
  boolean isShort() {
    return isShort;
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
  double part(int rank, boolean isRetry) {
    return isRetry ? returning[rank] : fresh[rank];
  }

  /**
   * Returns how long a request of a rank that arrives now waits until a server starts it; 0 without
   * overload.
   */
  double waitMs(int rank) {
    return waits[rank];
  }

  /** Returns the measured values that the shares are computed from, for the log. */
  String why() {
    return String.format(
        "wait %d ms, %d%% of the room taken, %d begun a second",
        Math.round(capacity <= 0 ? 0 : lines[Demand.RANKS - 1]),
        Math.round(takenShare * PERCENT),
        Math.round(capacity * MS_A_SECOND));
  }
}
