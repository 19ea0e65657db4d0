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

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.overload.AdmissionDecision.Cause;

/**
 * Admission control of one service: decides on its requests by the demand that this VM and the
 * others see. Not thread-safe.
 */
final class ServiceAdmission {
  /**
   * Number of teams that are reported to other VMs during an overload, those with the largest
   * demand first.
   */
  private static final int MAX_REPORTED_TEAMS = 24;

  /** Shortest time that an answer is expected to take after a server has started the request. */
  private static final long MIN_ANSWER_MS = 100;

  /**
   * Multiplier by which the random draw of the admission decision also gives the position within
   * the spread of retry delays. The draws of refused requests may be close to each other; the
   * multiplier moves them apart.
   */
  private static final int SPREAD_FACTOR = 1_009;

  private static final double PERCENT = 100;

  private final String name;
  private final long nameHash;
  private final ServiceLoad view;
  private final DemandMeter meter = new DemandMeter();
  private final Map<String, RetryDetector> retryDetectors = new HashMap<>();
  private final Map<Long, Long> demandByTeam = new HashMap<>();
  private final Map<Double, Double> teamLevels = new HashMap<>();
  private final AdmissionLevel level = new AdmissionLevel();
  private long updatedAtMs = Long.MIN_VALUE / 2;

  ServiceAdmission(String name, ServiceLoad view) {
    this.name = name;
    this.nameHash = Hashes.placement(name);
    this.view = view;
  }

  private long teamKey(String team) {
    return Hashes.placement(name + '/' + team);
  }

  private Demand localDemand(long nowMs) {
    return meter.demand(rank -> view.queuedSize(name, rank), view.lateSize(name), nowMs);
  }

  /** Returns the counts of this VM for the load reports to other VMs. */
  List<Tally> tallies(long nowMs) {
    Demand demand = localDemand(nowMs);
    List<Tally> tallies = new ArrayList<>();
    if (!demand.isZero()) {
      tallies.add(demand.tally(nameHash));
    }
    if (level.isOverloaded()) {
      List<Map.Entry<String, Long>> teams = new ArrayList<>(meter.teamCounts(nowMs).entrySet());
      teams.sort(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder()));
      for (Map.Entry<String, Long> team :
          teams.subList(0, Math.min(MAX_REPORTED_TEAMS, teams.size()))) {
        tallies.add(new Tally(teamKey(team.getKey()), team.getValue()));
      }
    }
    return tallies;
  }

  void recordStart(long size, long nowMs) {
    meter.recordStart(size, nowMs);
  }

  /**
   * Recomputes the admitted shares.
   *
   * @param others the sums of the other VMs, by key
   * @param nowMs the current time
   */
  void update(Map<Long, Tally> others, long nowMs) {
    updatedAtMs = nowMs;
    Demand demand = localDemand(nowMs).plus(others.getOrDefault(nameHash, new Tally(nameHash)));
    level.update(demand, view.utilization(name), view.targetMs(name), nowMs);
    demandByTeam.clear();
    teamLevels.clear();
    if (level.isOverloaded()) {
      meter.teamCounts(nowMs).forEach((team, asked) -> demandByTeam.put(teamKey(team), asked));
      demandByTeam.replaceAll(
          (key, asked) -> asked + others.getOrDefault(key, new Tally(key)).count(0));
    }
  }

  /** Returns the measured values that the shares are computed from, for the log. */
  String describe() {
    return level.describe();
  }

  long updatedAtMs() {
    return updatedAtMs;
  }

  boolean isOverloaded() {
    return level.isOverloaded();
  }

  /** Returns the admitted share of the least urgent rank. */
  double leastAdmittedShare() {
    return level.admittedShare(Demand.RANKS - 1, false);
  }

  /**
   * Counts a request and decides whether it is admitted.
   *
   * @param draw a random number from 0 to 1; the request is admitted if it is below the admitted
   *     share
   */
  AdmissionDecision decide(AdmissionRequest request, double draw, long nowMs) {
    int rank = Math.max(0, Math.min(Demand.RANKS - 1, request.rank()));
    boolean isRetry =
        retryDetectors
            .computeIfAbsent(request.route(), route -> new RetryDetector())
            .isRetry(request.deadlineMs(), level.isOverloaded(), nowMs);
    meter.recordArrival(request.team(), rank, isRetry, request.size(), nowMs);
    if (!level.isOverloaded()) {
      return AdmissionDecision.ADMITTED;
    }
    double share = level.admittedShare(rank, isRetry);
    double teamShare = share < 1 ? teamAdmittedShare(request.team(), share) : 1;
    Cause cause = cause(draw, share, teamShare, level.waitMs(rank), request.remainingMs());
    if (cause == Cause.NONE) {
      return AdmissionDecision.ADMITTED;
    }
    String why =
        String.format(
            "admission by %s: %d%% of rank %d%s are let in, %d%% of the team's, wait %d ms",
            cause.text(),
            Math.round(share * PERCENT),
            rank,
            isRetry ? " that return" : "",
            Math.round(teamShare * PERCENT),
            (long) level.waitMs(rank));
    double spread = (draw * SPREAD_FACTOR) % 1;
    long retryMs =
        RetryAfterPolicy.retryAfterMs(
            rank,
            level.waitMs(rank),
            level.isGrowing(),
            Math.max(request.remainingMs(), request.deadlineMs()),
            spread);
    return new AdmissionDecision(cause, why, retryMs);
  }

  private static Cause cause(
      double draw, double share, double teamShare, double waitMs, long leftMs) {
    if (waitMs + MIN_ANSWER_MS > leftMs) {
      return Cause.TIME;
    }
    if (draw < teamShare) {
      return Cause.NONE;
    }
    return draw < share ? Cause.TEAM : Cause.RANK;
  }

  private double teamAdmittedShare(String team, double share) {
    long asked = demandByTeam.getOrDefault(teamKey(team), 0L);
    if (team.isEmpty() || asked == 0) {
      return share;
    }
    double teamLevel =
        teamLevels.computeIfAbsent(
            share, admittedShare -> MaxMinShares.level(demandByTeam.values(), admittedShare));
    return MaxMinShares.admittedShare(teamLevel, asked, share);
  }
}
