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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.routing.CostModel.Reuse;

/**
 * Selects the option with the lowest estimated cost among a few candidates. The default policy.
 *
 * <p>Candidates are the servers that have blocks of the prompt cached, the first {@link
 * #HASHED_CANDIDATES} servers by rendezvous hash of the prompt's first block (the likely place of
 * the prompt if no holder is known), and the less loaded servers of random pairs. Apart from one
 * cheap scan, the work for a decision therefore does not grow with the number of servers.
 */
public final class CostPolicy implements RoutingPolicy {
  /** Number of candidates by rendezvous hash. */
  static final int HASHED_CANDIDATES = 2;

  /** Number of random pairs of servers; the less loaded one of each is a candidate. */
  private static final int SAMPLED_CANDIDATES = 4;

  /** Up to this number of servers, all of them are candidates. */
  private static final int MAX_SERVERS_WITHOUT_SAMPLING = 24;

  /** Costs that are equal after rounding to a multiple of this are tied. */
  private static final double COST_RESOLUTION = 1e-6;

  private static final Holder NO_HOLDER = new Holder("", 0, "");

  private final Supplier<RandomGenerator> random;

  public CostPolicy(Supplier<RandomGenerator> random) {
    this.random = random;
  }

  @Override
  public RouteDecision decide(RouteQuery query) {
    List<String> rejected = new ArrayList<>();
    Map<String, Integer> cachedDepth = cachedDepths(query);
    Holder stored = deepestStored(query);
    ServerSnapshot[] hashed = hashedServers(query);
    String preferred = query.servers().isEmpty() ? "" : hashed[0].name();
    List<RouteOption> options = new ArrayList<>();
    for (ServerSnapshot server : candidates(query, cachedDepth, hashed)) {
      if (!server.isUsable()) {
        rejected.add(server.name() + ": not usable, ejected after failures or leaving.");
        continue;
      }
      int cached = cachedDepth.getOrDefault(server.name(), 0);
      // The first server by rendezvous hash is the prompt's own place. A copy on another server
      // evicts blocks of other prompts.
      int evicted = server.name().equals(preferred) ? 0 : query.chain().depth() - cached;
      options.add(CostModel.estimate(query, server, Reuse.cachedOnly(cached), evicted));
      addRestore(query, server, cached, evicted, stored, options, rejected);
    }
    sortByCost(options, query);
    return new RouteDecision(options, rejected);
  }

  private static Map<String, Integer> cachedDepths(RouteQuery query) {
    Map<String, Integer> depths = new HashMap<>();
    for (Holder holder : query.holders()) {
      if (holder.kept().isEmpty()) {
        depths.merge(holder.server(), holder.depth(), Math::max);
      }
    }
    return depths;
  }

  private static Holder deepestStored(RouteQuery query) {
    Holder best = NO_HOLDER;
    for (Holder holder : query.holders()) {
      if (!holder.kept().isEmpty() && holder.depth() > best.depth()) {
        best = holder;
      }
    }
    return best;
  }

  private static void addRestore(
      RouteQuery query,
      ServerSnapshot server,
      int cached,
      int evicted,
      Holder stored,
      List<RouteOption> options,
      List<String> rejected) {
    int missing = stored.depth() - cached;
    if (missing <= 0) {
      return;
    }
    long bytes = missing * CostModel.blockBytes(query.links());
    if (bytes > query.links().budgetBytes()) {
      rejected.add(server.name() + ": no restore, the link's budget is used up.");
      return;
    }
    Reuse reuse = new Reuse(stored.depth(), stored.server(), stored.kept(), missing);
    options.add(CostModel.estimate(query, server, reuse, evicted));
  }

  /**
   * Returns the first {@link #HASHED_CANDIDATES} servers by rendezvous hash of the prompt's first
   * block; later elements are null if there are fewer servers.
   */
  private static ServerSnapshot[] hashedServers(RouteQuery query) {
    long group = Hashes.placement(query.chain().groupKey());
    ServerSnapshot[] hashed = new ServerSnapshot[HASHED_CANDIDATES];
    long[] weights = new long[HASHED_CANDIDATES];
    for (ServerSnapshot server : query.servers()) {
      insertByWeight(hashed, weights, server, Hashes.combine(group, server.nameHash()));
    }
    return hashed;
  }

  private List<ServerSnapshot> candidates(
      RouteQuery query, Map<String, Integer> cachedDepth, ServerSnapshot[] hashed) {
    List<ServerSnapshot> servers = query.servers();
    if (servers.size() <= MAX_SERVERS_WITHOUT_SAMPLING) {
      return servers;
    }
    Map<String, ServerSnapshot> chosen = new LinkedHashMap<>();
    for (ServerSnapshot server : servers) {
      if (cachedDepth.containsKey(server.name())) {
        chosen.put(server.name(), server);
      }
    }
    for (ServerSnapshot server : hashed) {
      chosen.put(server.name(), server);
    }
    RandomGenerator generator = random.get();
    for (int i = 0; i < SAMPLED_CANDIDATES; i++) {
      ServerSnapshot a = servers.get(generator.nextInt(servers.size()));
      ServerSnapshot b = servers.get(generator.nextInt(servers.size()));
      double queueA = CostModel.queueMs(a, query.nowMs());
      ServerSnapshot better = queueA <= CostModel.queueMs(b, query.nowMs()) ? a : b;
      chosen.put(better.name(), better);
    }
    return List.copyOf(chosen.values());
  }

  /** Inserts a server into an array ordered by descending weight if it is heavy enough. */
  private static void insertByWeight(
      ServerSnapshot[] best, long[] weights, ServerSnapshot server, long weight) {
    ServerSnapshot inserted = server;
    long insertedWeight = weight;
    for (int i = 0; i < best.length; i++) {
      if (best[i] == null || insertedWeight > weights[i]) {
        ServerSnapshot displaced = best[i];
        long displacedWeight = weights[i];
        best[i] = inserted;
        weights[i] = insertedWeight;
        if (displaced == null) {
          return;
        }
        inserted = displaced;
        insertedWeight = displacedWeight;
      }
    }
  }

  /**
   * Orders options by cost. Ties are in rendezvous order of the prompt's first block, so that
   * repeated prompts go to the same server.
   */
  private static void sortByCost(List<RouteOption> options, RouteQuery query) {
    long group = Hashes.placement(query.chain().groupKey());
    options.sort(
        Comparator.comparingDouble(
                (RouteOption option) -> Math.rint(option.cost() / COST_RESOLUTION))
            .thenComparing(
                option -> Hashes.combine(group, Hashes.placement(option.server())),
                Comparator.reverseOrder()));
  }
}
