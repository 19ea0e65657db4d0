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

import org.landingtrack.internal.loads.Tally;

/**
 * The demand for a service as seen by one VM or by several together. Amounts are the cost of
 * requests: tokens of an engine's KV cache memory, or the same value for each request at other
 * servers. Immutable.
 */
final class Demand {
  /** Number of priority ranks that are distinguished; less urgent ones count as the last. */
  static final int RANKS = 4;

  /**
   * Window over which arrivals are summed: about as long as the age of the load reports that carry
   * them.
   */
  static final long ARRIVAL_WINDOW_MS = 300;

  /**
   * Window over which started requests are summed: long enough to contain several, even if they are
   * large.
   */
  static final long START_WINDOW_MS = 1_000;

  /**
   * Window over which the demand of teams is summed: longer, since a single team sends few
   * requests.
   */
  static final long TEAM_WINDOW_MS = 2_000;

  private static final int TOTAL = 0;
  private static final int STARTED = 1;
  private static final int WAITING = 2;
  private static final int FIRST_ATTEMPTS = WAITING + RANKS;
  private static final int RETRIES = FIRST_ATTEMPTS + RANKS;
  private static final int REQUESTS = RETRIES + RANKS;
  private static final int LATE = REQUESTS + RANKS;
  static final int SIZE = LATE + 1;

  private final long[] amounts;

  private Demand(long[] amounts) {
    this.amounts = amounts;
  }

  /** Creates the demand that one VM sees. Arrays have one element for each rank. */
  Demand(
      long teamsTotal,
      long begun,
      long[] waiting,
      long[] fresh,
      long[] returning,
      long[] requests,
      long late) {
    this.amounts = new long[SIZE];
    amounts[TOTAL] = teamsTotal;
    amounts[STARTED] = begun;
    System.arraycopy(waiting, 0, amounts, WAITING, RANKS);
    System.arraycopy(fresh, 0, amounts, FIRST_ATTEMPTS, RANKS);
    System.arraycopy(returning, 0, amounts, RETRIES, RANKS);
    System.arraycopy(requests, 0, amounts, REQUESTS, RANKS);
    amounts[LATE] = late;
  }

  /** Returns the sum of this demand and that of other VMs. */
  Demand plus(Tally others) {
    long[] sum = amounts.clone();
    for (int i = 0; i < SIZE; i++) {
      sum[i] += others.count(i);
    }
    return new Demand(sum);
  }

  /**
   * Returns the counts for the load reports to other VMs. The total of all teams comes first, as it
   * is the largest count.
   */
  Tally tally(long key) {
    return new Tally(key, amounts);
  }

  /** Returns the cost of all requests that arrived in {@link #TEAM_WINDOW_MS}. */
  long teamsTotal() {
    return amounts[TOTAL];
  }

  /** Returns the cost of the requests that servers start in a millisecond. */
  double startedPerMs() {
    return (double) amounts[STARTED] / START_WINDOW_MS;
  }

  /** Returns the cost of queued requests of a rank that can still meet their latency target. */
  long waiting(int rank) {
    return amounts[WAITING + rank];
  }

  /** Returns the cost of the first attempts of a rank that arrive in a millisecond. */
  double firstAttemptsPerMs(int rank) {
    return (double) amounts[FIRST_ATTEMPTS + rank] / ARRIVAL_WINDOW_MS;
  }

  /**
   * Returns the cost of the client retries of a rank that arrive in a millisecond after a refusal.
   */
  double retriesPerMs(int rank) {
    return (double) amounts[RETRIES + rank] / ARRIVAL_WINDOW_MS;
  }

  /**
   * Returns how many requests of a rank arrived in {@link #ARRIVAL_WINDOW_MS}, whatever their size.
   */
  long requests(int rank) {
    return amounts[REQUESTS + rank];
  }

  /** Returns the cost of queued requests that can no longer meet their latency target. */
  long late() {
    return amounts[LATE];
  }

  boolean isZero() {
    for (long amount : amounts) {
      if (amount != 0) {
        return false;
      }
    }
    return true;
  }
}
