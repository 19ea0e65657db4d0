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
import org.landingtrack.internal.routing.ServerSnapshot;
import org.landingtrack.internal.routing.ServerState;
import org.landingtrack.internal.routing.ServerState.VersionMatch;

/**
 * The weight version requested for an attempt and the candidate servers for it.
 *
 * <p>A gateway learns the loaded versions only from answers and refusals. During a weight swap, a
 * server that had another version is therefore probed after a while. Each request probes at most
 * one such server, so that the probe costs it one round trip.
 *
 * @param version the weight version to request
 * @param servers servers that have the version or may have it
 */
record VersionSelection(String version, List<ServerSnapshot> servers) {

  /**
   * Returns the version that the catalog names for the request's service, else the version in the
   * request's copy of the service; empty if neither names one.
   */
  static String configuredVersion(Catalog catalog, ModelRequest request) {
    String fromCatalog =
        catalog
            .find(Kind.SERVICE, request.serviceName(), Service.class)
            .map(Service::weightVersion)
            .orElse(null);
    String requested = request.service().weightVersion();
    return fromCatalog != null ? fromCatalog : requested == null ? "" : requested;
  }

  /** Returns the servers that have a version or whose version is unknown. */
  static VersionSelection forVersion(String version, List<ServerState> states, long nowMs) {
    List<ServerSnapshot> servers = new ArrayList<>();
    for (ServerState state : states) {
      VersionMatch known = state.matchVersion(version, nowMs);
      if (known == VersionMatch.YES || known == VersionMatch.NEVER_HEARD) {
        servers.add(state.snapshot(nowMs));
      }
    }
    return new VersionSelection(version, servers);
  }

  /**
   * Returns the servers for the configured version or, if no server has it, for the version that
   * most servers have.
   *
   * @param mayProbe true if servers that had another version a while ago are candidates as well
   */
  static VersionSelection select(
      String configured, List<ServerState> states, boolean mayProbe, long nowMs) {
    VersionSelection selection = forVersion(configured, states, nowMs);
    if (mayProbe) {
      for (ServerState state : states) {
        if (state.matchVersion(configured, nowMs) == VersionMatch.STALE) {
          selection.servers.add(state.snapshot(nowMs));
        }
      }
    }
    if (!selection.servers.isEmpty()) {
      return selection;
    }
    return forVersion(mostCommonVersion(configured, states, nowMs), states, nowMs);
  }

  private static String mostCommonVersion(String configured, List<ServerState> states, long nowMs) {
    Map<String, Integer> counts = new HashMap<>();
    String mostCommon = configured;
    int maxCount = 0;
    for (ServerState state : states) {
      String version = state.snapshot(nowMs).weightVersion();
      int count = counts.merge(version, 1, Integer::sum);
      if (count > maxCount) {
        mostCommon = version;
        maxCount = count;
      }
    }
    return mostCommon;
  }
}
