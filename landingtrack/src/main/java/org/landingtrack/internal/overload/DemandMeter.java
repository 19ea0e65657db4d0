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
import org.landingtrack.internal.base.SlidingCount;

/** Measures the demand for a service that one VM sees, in sliding windows. Not thread-safe. */
final class DemandMeter {
  /** Slots of each sliding window; a sum is exact to one slot. */
  private static final int SLOTS = 10;

  private final SlidingCount[] fresh = counts();
  private final SlidingCount[] returning = counts();
  private final SlidingCount[] requests = counts();
  private final SlidingCount begun = count(Demand.BEGUN_MS);
  private final SlidingCount total = count(Demand.TEAMS_MS);
  private final Map<String, SlidingCount> teams = new HashMap<>();

  private static SlidingCount count(long spanMs) {
    return new SlidingCount(spanMs, spanMs / SLOTS);
  }

  private static SlidingCount[] counts() {
    SlidingCount[] counts = new SlidingCount[Demand.RANKS];
    for (int rank = 0; rank < counts.length; rank++) {
      counts[rank] = count(Demand.ARRIVED_MS);
    }
    return counts;
  }

  void came(String team, int rank, boolean isRetry, long size, long nowMs) {
    (isRetry ? returning : fresh)[rank].add(size, nowMs);
    requests[rank].add(1, nowMs);
    total.add(size, nowMs);
    if (!team.isEmpty()) {
      teams.computeIfAbsent(team, name -> count(Demand.TEAMS_MS)).add(size, nowMs);
    }
  }

  void began(long size, long nowMs) {
    begun.add(size, nowMs);
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
      firstAttempts[rank] = fresh[rank].atMost(Demand.ARRIVED_MS, nowMs);
      retries[rank] = returning[rank].atMost(Demand.ARRIVED_MS, nowMs);
      arrivals[rank] = requests[rank].atMost(Demand.ARRIVED_MS, nowMs);
    }
    long arrived = total.atMost(Demand.TEAMS_MS, nowMs);
    long started = begun.atMost(Demand.BEGUN_MS, nowMs);
    return new Demand(arrived, started, queued, firstAttempts, retries, arrivals, late);
  }

  /**
   * Returns the cost of each team's requests in {@link Demand#TEAMS_MS}. Teams without requests in
   * that window are removed.
   */
  Map<String, Long> teams(long nowMs) {
    Map<String, Long> byTeam = new HashMap<>();
    teams.values().removeIf(count -> count.atMost(Demand.TEAMS_MS, nowMs) == 0);
    teams.forEach((team, count) -> byTeam.put(team, count.atMost(Demand.TEAMS_MS, nowMs)));
    return byTeam;
  }
}
