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
package org.landingtrack.internal.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.routing.CostModel.Reuse;

/** Simple routing policies: baselines that {@link CostPolicy} is compared with. */
public final class BaselinePolicies {
  private BaselinePolicies() {}

  /** Returns a policy that selects the usable servers in turn. */
  public static RoutingPolicy roundRobin() {
    AtomicLong turn = new AtomicLong();
    return query -> {
      List<ServerSnapshot> usable = usable(query);
      int size = Math.max(1, usable.size());
      int first = (int) Math.floorMod(turn.getAndIncrement(), (long) size);
      List<ServerSnapshot> rotated =
          new ArrayList<>(usable.subList(Math.min(first, usable.size()), usable.size()));
      rotated.addAll(usable.subList(0, Math.min(first, usable.size())));
      return decision(query, rotated);
    };
  }

  /**
   * Returns a policy that selects the server with the fewest requests relative to its capacity,
   * with pseudo-random order among equals.
   */
  public static RoutingPolicy leastLoaded() {
    return ascending(
        server ->
            (double) Math.max(server.inFlight(), server.report().running())
                / server.maxConcurrent());
  }

  /** Returns a policy that orders the servers by rendezvous hash of the prompt's first block. */
  public static RoutingPolicy prefixHash() {
    return query ->
        decision(
            query,
            Hashes.rendezvous(query.chain().groupKey(), usable(query), ServerSnapshot::name));
  }

  private static RoutingPolicy ascending(ToDoubleFunction<ServerSnapshot> load) {
    AtomicLong turn = new AtomicLong();
    return query -> {
      String salt = Long.toString(turn.getAndIncrement());
      List<ServerSnapshot> ordered = usable(query);
      ordered.sort(
          Comparator.comparingDouble(load)
              .thenComparing(server -> Hashes.placement(salt, server.name())));
      return decision(query, ordered);
    };
  }

  private static List<ServerSnapshot> usable(RouteQuery query) {
    List<ServerSnapshot> usable = new ArrayList<>();
    for (ServerSnapshot server : query.servers()) {
      if (server.isUsable()) {
        usable.add(server);
      }
    }
    return usable;
  }

  private static RouteDecision decision(RouteQuery query, List<ServerSnapshot> ordered) {
    List<RouteOption> options = new ArrayList<>();
    for (ServerSnapshot server : ordered) {
      options.add(CostModel.estimate(query, server, Reuse.cachedOnly(0), 0));
    }
    return new RouteDecision(options, List.of());
  }
}
