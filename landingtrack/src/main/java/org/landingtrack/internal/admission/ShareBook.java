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
package org.landingtrack.internal.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How teams' limits are divided between gateways: kept by each team's owner, an aggregate without
 * I/O.
 *
 * <p>Without a word from the owner every gateway has an equal share. A gateway reports a team only
 * while it wants more than half of that; so the owner leaves half an equal share to each of the
 * others and divides the rest among those that report, by what they want. The shares' sum passes
 * the whole only while a gateway's report of new traffic is on its way. Thread-safe.
 */
public final class ShareBook {
  /** A gateway that was not heard for so long has given its share back. */
  static final long VALID_MS = 3_000;

  /** Every reporter keeps a little, so that its traffic can grow. */
  private static final double SMALLEST_WANT = 0.1;

  private static final int MAX_TEAMS = 20_000;

  private record Want(double share, long atMs) {}

  /** What is known of one team. */
  private static final class Wants {
    private final long sinceMs;
    private final Map<String, Want> byGateway = new HashMap<>();

    Wants(long sinceMs) {
      this.sinceMs = sinceMs;
    }

    void forgetSilent(long nowMs) {
      byGateway.values().removeIf(want -> nowMs - want.atMs >= VALID_MS);
    }
  }

  private final Map<String, Wants> teams = new HashMap<>();

  /**
   * Notes what a gateway wants of a team's limit and returns what it may use.
   *
   * @param wanted share of the limit that its traffic would use, 0 to 1
   * @param gateways live gateways
   */
  public synchronized double report(
      String team, String gateway, double wanted, int gateways, long nowMs) {
    double equal = 1.0 / Math.max(1, gateways);
    if (!teams.containsKey(team) && teams.size() >= MAX_TEAMS) {
      expire(nowMs);
      if (teams.size() >= MAX_TEAMS) {
        return equal;
      }
    }
    Wants wants = teams.computeIfAbsent(team, t -> new Wants(nowMs));
    wants.forgetSilent(nowMs);
    double own = Math.min(1, wanted) + SMALLEST_WANT * equal;
    wants.byGateway.put(gateway, new Want(own, nowMs));
    if (nowMs - wants.sinceMs < VALID_MS) {
      // Another owner's grants may still be in use; until they have ended nothing is lent.
      return equal;
    }
    double sum = 0;
    for (Want want : wants.byGateway.values()) {
      sum += want.share;
    }
    int silent = Math.max(0, gateways - wants.byGateway.size());
    double pool = 1 - silent * equal / 2;
    return pool * own / sum;
  }

  private void expire(long nowMs) {
    Iterator<Wants> all = teams.values().iterator();
    while (all.hasNext()) {
      Wants wants = all.next();
      wants.forgetSilent(nowMs);
      if (wants.byGateway.isEmpty()) {
        all.remove();
      }
    }
  }
}
