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
package org.landingtrack.internal.serving;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Chooses the backend server for a request: the one on which it is expected to start first, where
 * reading what is not kept counts as time. Pure but for the order of the candidates.
 */
final class ServerChooser {
  /** Time to read one prompt token on an idle engine; from the engines' data sheet. */
  static final double MS_PER_TOKEN = 1 / 56.9;

  /** Time to move one token from a store: 18 kB over a link of 29 Gbit/s, twice between zones. */
  private static final double MS_PER_FETCHED_TOKEN = 0.007;

  /** What a fetch takes before its first byte comes. */
  private static final double FIRST_FETCH_MS = 6;

  /** What a request in another data centre costs more, in milliseconds of waiting. */
  private static final double OTHER_DATA_CENTRE_MS = 12;

  /** Assumed delay by each request that an engine already runs. */
  private static final double MS_PER_RUNNING = 1.0;

  /** Assumed delay by each request that a plain server already runs. */
  private static final double MS_PER_PLAIN_REQUEST = 40;

  /** Share of the shared parts that the prompt's home server is assumed to keep unseen. */
  private static final double HOME_KEPT = 0.5;

  /** Passing over a server that refused lately is worth so much waiting. */
  private static final double REFUSED_MS = 400;

  /** Passing over a server with old weights is worth so much waiting. */
  private static final double OLD_WEIGHTS_MS = 40;

  /** Turns of a rollout: servers below this load new weights now. */
  private static final double LOADING_NOW = 1;

  /** Servers below this load now or next. */
  private static final double LOADING_NEXT = 1.67;

  /** A load takes about 0.8 s, and a request that comes before it is refused or waits for it. */
  private static final double LOADING_MS = 800;

  /** Emptying a server before its load shortens the load. */
  private static final double LOADING_SOON_MS = 150;

  private ServerChooser() {}

  /** What is known of a request. */
  record Query(
      String service,
      String dataCentre,
      @Nullable EngineInfo engine,
      @Nullable Prompt prompt,
      LongFunction<String> scope,
      PartStores parts,
      PeerLoads peerLoads,
      OptionalLong newestWeights,
      ToDoubleFunction<String> rolloutTurn,
      long keyHash,
      long nowMs) {}

  /** A chosen server with what decided. */
  record Choice(Backend backend, int keptTokens, double costMs) {}

  /** Returns the cheapest server, or null if there is none. */
  static @Nullable Choice choose(List<Backend> candidates, Query query) {
    Backend home = home(candidates, query.keyHash());
    Choice best = null;
    for (Backend backend : candidates) {
      Choice choice = consider(backend, backend == home, query);
      if (best == null || choice.costMs < best.costMs) {
        best = choice;
      }
    }
    return best;
  }

  private static @Nullable Backend home(List<Backend> candidates, long keyHash) {
    Backend best = null;
    long bestWeight = Long.MIN_VALUE;
    for (Backend backend : candidates) {
      long weight = Hashes.weight(keyHash, backend.idHash());
      if (best == null || weight > bestWeight) {
        best = backend;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static Choice consider(Backend backend, boolean isHome, Query query) {
    double cost = 0;
    int kept = 0;
    int running = backend.inFlight() + query.peerLoads().running(backend.idHash());
    Prompt prompt = query.prompt();
    if (prompt == null) {
      cost += running * MS_PER_PLAIN_REQUEST;
    } else {
      String scope = query.scope().apply(backend.weights(prompt.model()));
      kept = backend.keptTokens(scope, prompt);
      int fetchable = Math.max(0, query.parts().fetchableTokens(scope, prompt) - kept);
      int missing = prompt.tokens() - kept - fetchable;
      int shared = prompt.tokens() - lastPartTokens(prompt);
      double homeKept = isHome ? HOME_KEPT * Math.max(0, shared - kept) : 0;
      if (fetchable > 0) {
        cost += FIRST_FETCH_MS + Math.max(0, fetchable - homeKept) * MS_PER_FETCHED_TOKEN;
      } else {
        missing -= (int) homeKept;
      }
      kept += fetchable;
      long pending = backend.pendingTokens() + query.peerLoads().pendingTokens(backend.idHash());
      cost += (missing + pending) * MS_PER_TOKEN;
      cost += running * MS_PER_RUNNING;
      cost += weightsCost(backend, prompt.model(), query);
    }
    if (!backend.entry().dataCentre().equals(query.dataCentre())) {
      cost += OTHER_DATA_CENTRE_MS;
    }
    if (backend.refusedLately(query.nowMs())) {
      cost += REFUSED_MS;
    }
    return new Choice(backend, kept, cost);
  }

  private static double weightsCost(Backend backend, String model, Query query) {
    OptionalLong newest = query.newestWeights();
    if (newest.isEmpty() || backend.weights(model) >= newest.getAsLong()) {
      return 0;
    }
    double turn = query.rolloutTurn().applyAsDouble(backend.entry().id());
    if (turn < LOADING_NOW) {
      return LOADING_MS;
    }
    return turn < LOADING_NEXT ? LOADING_SOON_MS : OLD_WEIGHTS_MS;
  }

  private static int lastPartTokens(Prompt prompt) {
    int size = prompt.parts().size();
    return size == 0 ? 0 : prompt.parts().get(size - 1).tokens();
  }
}
