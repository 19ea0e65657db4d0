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
package org.landingtrack.internal.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.admission.TeamLimiter;
import org.landingtrack.internal.admission.TeamLimiter.Demand;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.Messages.ShareAnswer;
import org.landingtrack.internal.peer.Messages.ShareQuery;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests this gateway's shares of teams' limits from the controllers that own the teams. A team's
 * owner is chosen by rendezvous hashing from the controllers of all data centres. If it does not
 * answer, the granted share expires and the gateway returns to an equal share. Not thread-safe.
 */
final class TeamShareClient {
  private static final Logger log = LoggerFactory.getLogger("shares");
  private static final String OWNER_KEY_PREFIX = "team/";
  private static final int CALL_TIMEOUT_MS = 500;

  private final String vm;
  private final TeamLimiter limiter;
  private final PeerClient peers;

  TeamShareClient(String vm, TeamLimiter limiter, PeerClient peers) {
    this.vm = vm;
    this.limiter = limiter;
    this.peers = peers;
  }

  /**
   * Reports the demand of the teams that are near their share to their owners, and applies the
   * shares that they grant.
   *
   * @param controllers the live controllers of all data centres
   */
  void update(List<MemberInfo> controllers) {
    limiter.setGateways(Math.max(1, controllers.size()));
    Map<String, List<Demand>> byOwner = new HashMap<>();
    for (Demand demand : limiter.demands()) {
      if (!controllers.isEmpty()) {
        String key = OWNER_KEY_PREFIX + demand.team();
        MemberInfo owner = Hashes.rendezvous(key, controllers, MemberInfo::vm).get(0);
        byOwner.computeIfAbsent(owner.address(), address -> new ArrayList<>()).add(demand);
      }
    }
    byOwner.forEach(this::requestShares);
  }

  private void requestShares(String owner, List<Demand> demands) {
    List<String> teams = demands.stream().map(Demand::team).toList();
    List<Double> wantedShares = demands.stream().map(Demand::wantedShare).toList();
    try {
      ShareAnswer answer =
          peers.call(
              owner, new ShareQuery(vm, teams, wantedShares), ShareAnswer.class, CALL_TIMEOUT_MS);
      for (int i = 0; i < Math.min(teams.size(), answer.shares().size()); i++) {
        limiter.applyGrant(teams.get(i), answer.shares().get(i));
      }
    } catch (PeerException e) {
      log.debug("Controller {} granted no shares: {}.", owner, e.getMessage());
    }
  }
}
