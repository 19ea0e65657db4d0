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
 * <p>Candidates are the servers that have blocks of the prompt cached, the first {@link #HASHED}
 * servers by rendezvous hash of the prompt's first block (the likely place of the prompt if no
 * holder is known), and the less loaded servers of random pairs. Apart from one cheap scan, the
 * work for a decision therefore does not grow with the number of servers.
 */
public final class CostPolicy implements RoutingPolicy {
  /** Number of candidates by rendezvous hash. */
  static final int HASHED = 2;

  /** Number of random pairs of servers; the less loaded one of each is a candidate. */
  private static final int SAMPLED = 4;

  /** Up to this number of servers, all of them are candidates. */
  private static final int CONSIDER_ALL = 24;

  /** Costs that are equal after rounding to a multiple of this are tied. */
  private static final double TIE = 1e-6;

  private static final Holder NO_HOLDER = new Holder("", 0, "");

  private final Supplier<RandomGenerator> random;

  public CostPolicy(Supplier<RandomGenerator> random) {
    this.random = random;
  }

  @Override
  public RouteDecision decide(RouteQuery query) {
    List<String> rejected = new ArrayList<>();
    Map<String, Integer> cachedDepth = heldDepths(query);
    Holder stored = bestKept(query);
    ServerView[] hashed = hashed(query);
    String preferred = query.servers().isEmpty() ? "" : hashed[0].name();
    List<RouteOption> options = new ArrayList<>();
    for (ServerView server : candidates(query, cachedDepth, hashed)) {
      if (!server.isUsable()) {
        rejected.add(server.name() + ": not usable, ejected after failures or leaving.");
        continue;
      }
      int cached = cachedDepth.getOrDefault(server.name(), 0);
      // The first server by rendezvous hash is the prompt's own place. A copy on another server
      // evicts blocks of other prompts.
      int evicted = server.name().equals(preferred) ? 0 : query.chain().depth() - cached;
      options.add(CostModel.option(query, server, Reuse.local(cached), evicted));
      addRestore(query, server, cached, evicted, stored, options, rejected);
    }
    sort(options, query);
    return new RouteDecision(options, rejected);
  }

  private static Map<String, Integer> heldDepths(RouteQuery query) {
    Map<String, Integer> depths = new HashMap<>();
    for (Holder holder : query.holders()) {
      if (holder.kept().isEmpty()) {
        depths.merge(holder.server(), holder.depth(), Math::max);
      }
    }
    return depths;
  }

  private static Holder bestKept(RouteQuery query) {
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
      ServerView server,
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
    options.add(CostModel.option(query, server, reuse, evicted));
  }

  /**
   * Returns the first {@link #HASHED} servers by rendezvous hash of the prompt's first block; later
   * elements are null if there are fewer servers.
   */
  private static ServerView[] hashed(RouteQuery query) {
    long group = Hashes.placement(query.chain().group());
    ServerView[] hashed = new ServerView[HASHED];
    long[] weights = new long[HASHED];
    for (ServerView server : query.servers()) {
      insert(hashed, weights, server, Hashes.weight(group, server.nameHash()));
    }
    return hashed;
  }

  private List<ServerView> candidates(
      RouteQuery query, Map<String, Integer> cachedDepth, ServerView[] hashed) {
    List<ServerView> servers = query.servers();
    if (servers.size() <= CONSIDER_ALL) {
      return servers;
    }
    Map<String, ServerView> chosen = new LinkedHashMap<>();
    for (ServerView server : servers) {
      if (cachedDepth.containsKey(server.name())) {
        chosen.put(server.name(), server);
      }
    }
    for (ServerView server : hashed) {
      chosen.put(server.name(), server);
    }
    RandomGenerator generator = random.get();
    for (int i = 0; i < SAMPLED; i++) {
      ServerView a = servers.get(generator.nextInt(servers.size()));
      ServerView b = servers.get(generator.nextInt(servers.size()));
      double queueA = CostModel.queueMs(a, query.nowMs());
      ServerView better = queueA <= CostModel.queueMs(b, query.nowMs()) ? a : b;
      chosen.put(better.name(), better);
    }
    return List.copyOf(chosen.values());
  }

  /** Inserts a server into an array ordered by descending weight if it is heavy enough. */
  private static void insert(ServerView[] best, long[] weights, ServerView server, long weight) {
    ServerView inserted = server;
    long insertedWeight = weight;
    for (int i = 0; i < best.length; i++) {
      if (best[i] == null || insertedWeight > weights[i]) {
        ServerView displaced = best[i];
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
  private static void sort(List<RouteOption> options, RouteQuery query) {
    long group = Hashes.placement(query.chain().group());
    options.sort(
        Comparator.comparingDouble((RouteOption option) -> Math.rint(option.cost() / TIE))
            .thenComparing(
                option -> Hashes.weight(group, Hashes.placement(option.server())),
                Comparator.reverseOrder()));
  }
}
