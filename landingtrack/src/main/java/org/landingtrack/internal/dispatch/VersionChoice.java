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
package org.landingtrack.internal.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.routing.ServerState;
import org.landingtrack.internal.routing.ServerState.HasVersion;
import org.landingtrack.internal.routing.ServerView;

/**
 * The weight version that a request runs under, and the servers that have it.
 *
 * <p>A gateway learns versions only from answers and refusals. During a swap a server that had
 * another version is therefore asked again after a while; a request asks one such server at most,
 * so that learning costs it one round trip.
 *
 * @param version the version to ask for
 * @param servers servers that have it or may have it
 */
record VersionChoice(String version, List<ServerView> servers) {

  /**
   * Returns the version that the catalog names for the request's service; empty if it names none.
   */
  static String wanted(Catalog catalog, ModelRequest request) {
    String fromCatalog =
        catalog
            .find(Kind.SERVICE, request.serviceName(), Service.class)
            .map(Service::weightVersion)
            .orElse(null);
    String own = request.service().weightVersion();
    return fromCatalog != null ? fromCatalog : own == null ? "" : own;
  }

  /** Returns the servers for one version and no other. */
  static VersionChoice only(String version, List<ServerState> states, long nowMs) {
    List<ServerView> servers = new ArrayList<>();
    for (ServerState state : states) {
      HasVersion has = state.hasVersion(version, nowMs);
      if (has == HasVersion.YES || has == HasVersion.NEVER_HEARD) {
        servers.add(state.view(nowMs));
      }
    }
    return new VersionChoice(version, servers);
  }

  /**
   * Returns the servers for the wanted version or, while none has it, for the one that most have.
   *
   * @param mayProbe whether servers that had another version a while ago count as well
   */
  static VersionChoice choose(
      String wanted, List<ServerState> states, boolean mayProbe, long nowMs) {
    VersionChoice choice = only(wanted, states, nowMs);
    if (mayProbe) {
      for (ServerState state : states) {
        if (state.hasVersion(wanted, nowMs) == HasVersion.STALE) {
          choice.servers.add(state.view(nowMs));
        }
      }
    }
    if (!choice.servers.isEmpty()) {
      return choice;
    }
    return only(mostCommon(wanted, states, nowMs), states, nowMs);
  }

  private static String mostCommon(String wanted, List<ServerState> states, long nowMs) {
    Map<String, Integer> counts = new HashMap<>();
    String best = wanted;
    int most = 0;
    for (ServerState state : states) {
      String version = state.view(nowMs).weightVersion();
      int count = counts.merge(version, 1, Integer::sum);
      if (count > most) {
        best = version;
        most = count;
      }
    }
    return best;
  }
}
