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
 * Divides teams' limits between gateways. The owner of a team, one of the controllers, keeps the
 * team's state here. Does no I/O.
 *
 * <p>A gateway without a grant from the owner uses an equal share. Gateways report a team only
 * while they want more than half of an equal share. So the owner reserves half an equal share for
 * each gateway that does not report, and divides the rest among those that do, in proportion to
 * their demand. The sum of the shares exceeds the limit only while a gateway's report of new
 * traffic is on its way. Thread-safe.
 */
public final class QuotaAllocator {
  /**
   * Validity of a report and of the share granted for it. The share of a gateway that does not
   * report again within this time is free.
   */
  static final long VALID_MS = 3_000;

  /**
   * Added to each reporting gateway's demand, as a fraction of an equal share, so that its traffic
   * can grow.
   */
  private static final double GROWTH_MARGIN = 0.1;

  private static final int MAX_TEAMS = 20_000;

  private record GatewayDemand(double share, long atMs) {}

  /** The reported demand for one team's limit. */
  private static final class TeamDemand {
    private final long sinceMs;
    private final Map<String, GatewayDemand> byGateway = new HashMap<>();

    TeamDemand(long sinceMs) {
      this.sinceMs = sinceMs;
    }

    void removeExpired(long nowMs) {
      byGateway.values().removeIf(want -> nowMs - want.atMs >= VALID_MS);
    }
  }

  private final Map<String, TeamDemand> teams = new HashMap<>();

  /**
   * Records a gateway's demand for a team's limit and returns the share that it may use.
   *
   * @param team the name of the team
   * @param gateway the name of the gateway
   * @param wanted the share of the limit that the gateway's traffic would use, from 0 to 1
   * @param gateways the number of live gateways
   * @param nowMs the current time
   */
  public synchronized double report(
      String team, String gateway, double wanted, int gateways, long nowMs) {
    double equalShare = 1.0 / Math.max(1, gateways);
    if (!teams.containsKey(team) && teams.size() >= MAX_TEAMS) {
      expire(nowMs);
      if (teams.size() >= MAX_TEAMS) {
        return equalShare;
      }
    }
    TeamDemand wants = teams.computeIfAbsent(team, t -> new TeamDemand(nowMs));
    wants.removeExpired(nowMs);
    double ownDemand = Math.min(1, wanted) + GROWTH_MARGIN * equalShare;
    wants.byGateway.put(gateway, new GatewayDemand(ownDemand, nowMs));
    if (nowMs - wants.sinceMs < VALID_MS) {
      // Grants of a previous owner may still be in use; nothing is lent until they expire.
      return equalShare;
    }
    double sum = 0;
    for (GatewayDemand want : wants.byGateway.values()) {
      sum += want.share;
    }
    int notReporting = Math.max(0, gateways - wants.byGateway.size());
    double available = 1 - notReporting * equalShare / 2;
    return available * ownDemand / sum;
  }

  private void expire(long nowMs) {
    Iterator<TeamDemand> all = teams.values().iterator();
    while (all.hasNext()) {
      TeamDemand wants = all.next();
      wants.removeExpired(nowMs);
      if (wants.byGateway.isEmpty()) {
        all.remove();
      }
    }
  }
}
