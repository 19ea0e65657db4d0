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
 * The product's policy: the cheapest way among a few candidates.
 *
 * <p>Candidates are the servers that hold part of the prompt, the first {@link #HASHED} servers by
 * rendezvous of the prompt's first block (where it probably is when nothing is known), and the
 * better ones of a random sample. The work for one decision therefore does not grow with the number
 * of servers, but for one cheap scan.
 */
public final class CostPolicy implements RoutingPolicy {
  /** Candidates by rendezvous. */
  static final int HASHED = 2;

  private static final int SAMPLED = 4;
  private static final int CONSIDER_ALL = 24;
  private static final double TIE = 1e-6;
  private static final Holder NO_HOLDER = new Holder("", 0, "");

  private final Supplier<RandomGenerator> random;

  public CostPolicy(Supplier<RandomGenerator> random) {
    this.random = random;
  }

  @Override
  public RouteDecision decide(RouteQuery query) {
    List<String> rejected = new ArrayList<>();
    Map<String, Integer> heldDepth = heldDepths(query);
    Holder kept = bestKept(query);
    ServerView[] hashed = hashed(query);
    String home = query.servers().isEmpty() ? "" : hashed[0].name();
    List<RouteOption> options = new ArrayList<>();
    for (ServerView server : candidates(query, heldDepth, hashed)) {
      if (!server.isUsable()) {
        rejected.add(server.name() + ": ejected after failures.");
        continue;
      }
      int held = heldDepth.getOrDefault(server.name(), 0);
      // A prompt's first server by rendezvous is where it belongs; a copy elsewhere displaces.
      int evicted = server.name().equals(home) ? 0 : query.chain().depth() - held;
      options.add(CostModel.option(query, server, Reuse.local(held), evicted));
      addRestore(query, server, held, evicted, kept, options, rejected);
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
      int held,
      int evicted,
      Holder kept,
      List<RouteOption> options,
      List<String> rejected) {
    int missing = kept.depth() - held;
    if (missing <= 0) {
      return;
    }
    long bytes = missing * CostModel.blockBytes(query.links());
    if (bytes > query.links().budgetBytes()) {
      rejected.add(server.name() + ": no restore, the link's budget is used up.");
      return;
    }
    Reuse reuse = new Reuse(kept.depth(), kept.server(), kept.kept(), missing);
    options.add(CostModel.option(query, server, reuse, evicted));
  }

  /** Returns the first servers by rendezvous of the prompt's first block. */
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
      RouteQuery query, Map<String, Integer> heldDepth, ServerView[] hashed) {
    List<ServerView> servers = query.servers();
    if (servers.size() <= CONSIDER_ALL) {
      return servers;
    }
    Map<String, ServerView> chosen = new LinkedHashMap<>();
    for (ServerView server : servers) {
      if (heldDepth.containsKey(server.name())) {
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

  /** Keeps the heaviest servers in order. */
  private static void insert(ServerView[] best, long[] weights, ServerView server, long weight) {
    ServerView moving = server;
    long movingWeight = weight;
    for (int i = 0; i < best.length; i++) {
      if (best[i] == null || movingWeight > weights[i]) {
        ServerView pushed = best[i];
        long pushedWeight = weights[i];
        best[i] = moving;
        weights[i] = movingWeight;
        if (pushed == null) {
          return;
        }
        moving = pushed;
        movingWeight = pushedWeight;
      }
    }
  }

  /**
   * Orders by cost; among equals the rendezvous order of the prompt keeps returning ones together.
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
