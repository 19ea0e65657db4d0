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

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntToLongFunction;
import org.landingtrack.internal.base.SlidingWindowCounter;

/** Measures the demand for a service that one VM sees, in sliding windows. Not thread-safe. */
final class DemandMeter {
  /** Slots of each sliding window; a sum is exact to one slot. */
  private static final int SLOTS = 10;

  private final SlidingWindowCounter[] firstAttemptCounts = counts();
  private final SlidingWindowCounter[] retryCounts = counts();
  private final SlidingWindowCounter[] requestCounts = counts();
  private final SlidingWindowCounter startedCount = count(Demand.START_WINDOW_MS);
  private final SlidingWindowCounter totalCount = count(Demand.TEAM_WINDOW_MS);
  private final Map<String, SlidingWindowCounter> teamCounts = new HashMap<>();

  private static SlidingWindowCounter count(long spanMs) {
    return new SlidingWindowCounter(spanMs, spanMs / SLOTS);
  }

  private static SlidingWindowCounter[] counts() {
    SlidingWindowCounter[] counts = new SlidingWindowCounter[Demand.RANKS];
    for (int rank = 0; rank < counts.length; rank++) {
      counts[rank] = count(Demand.ARRIVAL_WINDOW_MS);
    }
    return counts;
  }

  void recordArrival(String team, int rank, boolean isRetry, long size, long nowMs) {
    (isRetry ? retryCounts : firstAttemptCounts)[rank].add(size, nowMs);
    requestCounts[rank].add(1, nowMs);
    totalCount.add(size, nowMs);
    if (!team.isEmpty()) {
      teamCounts.computeIfAbsent(team, name -> count(Demand.TEAM_WINDOW_MS)).add(size, nowMs);
    }
  }

  void recordStart(long size, long nowMs) {
    startedCount.add(size, nowMs);
  }

  /**
   * Returns the demand at a time.
   *
   * @param waiting returns the cost of queued requests of a rank
   * @param late the cost of queued requests that can no longer meet their latency target
   * @param nowMs the current time
   */
  Demand demand(IntToLongFunction waiting, long late, long nowMs) {
    long[] queued = new long[Demand.RANKS];
    long[] firstAttempts = new long[Demand.RANKS];
    long[] retries = new long[Demand.RANKS];
    long[] arrivals = new long[Demand.RANKS];
    for (int rank = 0; rank < Demand.RANKS; rank++) {
      queued[rank] = waiting.applyAsLong(rank);
      firstAttempts[rank] =
          firstAttemptCounts[rank].sumRoundedDown(Demand.ARRIVAL_WINDOW_MS, nowMs);
      retries[rank] = retryCounts[rank].sumRoundedDown(Demand.ARRIVAL_WINDOW_MS, nowMs);
      arrivals[rank] = requestCounts[rank].sumRoundedDown(Demand.ARRIVAL_WINDOW_MS, nowMs);
    }
    long arrived = totalCount.sumRoundedDown(Demand.TEAM_WINDOW_MS, nowMs);
    long started = startedCount.sumRoundedDown(Demand.START_WINDOW_MS, nowMs);
    return new Demand(arrived, started, queued, firstAttempts, retries, arrivals, late);
  }

  /**
   * Returns the cost of each team's requests in {@link Conditions#TEAM_WINDOW_MS}. Teams without
   * requests in that window are removed.
   */
  Map<String, Long> teamCounts(long nowMs) {
    Map<String, Long> byTeam = new HashMap<>();
    teamCounts.values().removeIf(count -> count.sumRoundedDown(Demand.TEAM_WINDOW_MS, nowMs) == 0);
    teamCounts.forEach(
        (team, count) -> byTeam.put(team, count.sumRoundedDown(Demand.TEAM_WINDOW_MS, nowMs)));
    return byTeam;
  }
}
