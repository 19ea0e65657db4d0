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
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.PartFetchPlanner.FetchPlan;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Selects the backend server for a request: the one with the lowest estimated cost, which is the
 * expected time to the first event, including the prefill of tokens that are not cached, plus the
 * cost to other requests. Stateless; the result depends on the order of the candidates only for
 * ties.
 */
final class ServerSelector {
  /** Extra cost of a server in another data centre, in milliseconds of waiting. */
  private static final double OTHER_DATA_CENTRE_MS = 12;

  /** Assumed delay by each request that an engine already runs, in milliseconds. */
  private static final double MS_PER_RUNNING_REQUEST = 1.0;

  /** Time in which requests that fill an engine's whole memory complete, approximately. */
  private static final double MEMORY_TURNOVER_MS = 1_000;

  /** Assumed delay by each request that a server without an engine already runs, in ms. */
  private static final double MS_PER_PLAIN_REQUEST = 40;

  /**
   * Share of a prompt's shared parts that its affinity server is assumed to have cached, although
   * this VM did not see it: other VMs may have sent them there.
   */
  private static final double AFFINITY_CACHED_SHARE = 0.5;

  /**
   * Extra cost, in milliseconds, of any server but the prompt's affinity server, so that VMs that
   * send the same uncached prompt at the same time select the same server.
   */
  private static final double NO_AFFINITY_MS = 10;

  /**
   * Share of the fetched tokens' prefill time that is charged for the parts which a fetch evicts;
   * they take as long to restore.
   */
  private static final double EVICTION_SHARE = 0.4;

  /** Share of the remaining target latency of the route that a fetch may take. */
  private static final double FETCH_TARGET_SHARE = 0.4;

  /** Extra cost of a server that refused a request recently, in milliseconds of waiting. */
  private static final double RECENT_REFUSAL_MS = 400;

  /** Extra cost of a server with old weights, in milliseconds of waiting. */
  private static final double OLD_WEIGHTS_MS = 40;

  /** Rollout position below which servers load new weights now. */
  private static final double LOADING_NOW_POSITION = 1;

  /** Rollout position below which servers load new weights now or next. */
  private static final double LOADING_NEXT_POSITION = 1.67;

  /**
   * Extra cost of a server that loads new weights now: loading takes about 0.8 s, and a request
   * that arrives before that is refused or waits.
   */
  private static final double LOADING_MS = 800;

  /**
   * Extra cost of a server that loads new weights next: loading is shorter if the server has no
   * requests in flight.
   */
  private static final double LOADING_NEXT_MS = 150;

  private ServerSelector() {}

  /**
   * The properties of a request that selection depends on.
   *
   * @param dataCentre the data centre of this VM
   * @param engine the engine settings of the service, or null if it is not a model engine
   * @param sources returns the possible fetches for a weight version
   * @param rolloutPosition returns a server's position in the rollout of new weights
   * @param keyHash hash of the key that selects the affinity server
   * @param targetLeftMs remaining target latency of the route, in milliseconds
   */
  record Query(
      String dataCentre,
      @Nullable EngineInfo engine,
      @Nullable Prompt prompt,
      LongFunction<PartFetchPlanner> sources,
      PeerLoads peerLoads,
      OptionalLong newestWeights,
      ToDoubleFunction<String> rolloutPosition,
      long keyHash,
      double targetLeftMs,
      long nowMs) {}

  /**
   * A server with the estimates for a request. Times are in milliseconds.
   *
   * @param cachedTokens leading tokens of the prompt that the server has probably cached
   * @param fetch the planned fetch of prompt parts, or null if the server is not an engine
   * @param waitMs expected time until the request starts, if the engine has memory for it
   * @param memoryShare share of the engine's memory that all its requests need, with this one
   * @param expectedMs expected time to the first event
   * @param prefillMs the part of {@code expectedMs} that is prefill
   * @param serverIdle true if the server has no other work that this VM knows of
   * @param costMs the expected time plus the cost to other requests
   */
  record Selection(
      Backend backend,
      int cachedTokens,
      @Nullable FetchPlan fetch,
      double waitMs,
      double memoryShare,
      double expectedMs,
      double prefillMs,
      boolean serverIdle,
      double costMs) {
    int fetchedTokens() {
      return fetch == null ? 0 : fetch.tokens();
    }
  }

  /** Returns the server with the lowest cost, or null if there are no candidates. */
  static @Nullable Selection select(List<Backend> candidates, Query query) {
    Backend affinityServer = findAffinityServer(candidates, query.keyHash());
    Selection best = null;
    for (Backend backend : candidates) {
      Selection choice = evaluate(backend, backend == affinityServer, query);
      if (best == null || choice.costMs < best.costMs) {
        best = choice;
      }
    }
    return best;
  }

  private static @Nullable Backend findAffinityServer(List<Backend> candidates, long keyHash) {
    Backend best = null;
    long bestWeight = Long.MIN_VALUE;
    for (Backend backend : candidates) {
      long weight = Hashes.combine(keyHash, backend.idHash());
      if (best == null || weight > bestWeight) {
        best = backend;
        bestWeight = weight;
      }
    }
    return best;
  }

  private static Selection evaluate(Backend backend, boolean hasAffinity, Query query) {
    double penaltyMs = 0;
    if (!backend.entry().dataCentre().equals(query.dataCentre())) {
      penaltyMs += OTHER_DATA_CENTRE_MS;
    }
    if (backend.isRecentlyRefused(query.nowMs())) {
      penaltyMs += RECENT_REFUSAL_MS;
    }
    Prompt prompt = query.prompt();
    EngineInfo info = query.engine();
    Load peerLoad = query.peerLoads().others(backend.incarnationHash());
    int running = backend.inFlight() + peerLoad.running();
    if (prompt == null || info == null) {
      double waitMs = running * MS_PER_PLAIN_REQUEST;
      return new Selection(
          backend, 0, null, waitMs, 0, waitMs, 0, running == 0, waitMs + penaltyMs);
    }
    long weights = backend.weightVersion(prompt.model());
    penaltyMs += oldWeightsCostMs(backend, weights, query);
    return evaluateEngine(
        backend,
        hasAffinity,
        peerLoad,
        penaltyMs,
        prompt,
        query.sources().apply(weights),
        Math.max(1, info.kvCacheTokens()),
        query);
  }

  private static Selection evaluateEngine(
      Backend backend,
      boolean hasAffinity,
      Load peerLoad,
      double penaltyMs,
      Prompt prompt,
      PartFetchPlanner sources,
      int cacheTokens,
      Query query) {
    int kept = backend.cachedParts().cachedPrefixTokens(sources.keys(), prompt);
    double maxFetchMs = FETCH_TARGET_SHARE * query.targetLeftMs();
    FetchPlan fetch = sources.plan(backend, kept, maxFetchMs);
    int prefillTokens = prompt.tokens() - kept - fetch.tokens();
    if (hasAffinity && fetch.tokens() == 0) {
      prefillTokens -= (int) (AFFINITY_CACHED_SHARE * Math.max(0, sharedTokens(prompt) - kept));
    }
    int running = backend.inFlight() + peerLoad.running();
    long pending = backend.pendingTokens() + peerLoad.pendingTokens();
    double readMs = prefillTokens * backend.msPerToken();
    double waitMs =
        pending * backend.msPerToken()
            + running * MS_PER_RUNNING_REQUEST
            + backend.timing().lagMs(query.nowMs());
    long reservedTokens = backend.memoryTokensInUse() + peerLoad.memoryTokensInUse();
    double memoryShare =
        reservedTokens == 0 ? 0 : (double) (reservedTokens + prompt.memoryTokens()) / cacheTokens;
    double memoryMs = Math.max(0, memoryShare - EngineAdmission.MEMORY_SHARE) * MEMORY_TURNOVER_MS;
    double expectedMs = readMs + fetch.ms() + waitMs + memoryMs;
    double evictionMs = fetch.tokens() * backend.msPerToken() * EVICTION_SHARE;
    double costMs =
        expectedMs + fetch.linkMs() + evictionMs + penaltyMs + (hasAffinity ? 0 : NO_AFFINITY_MS);
    boolean alone = running == 0;
    return new Selection(
        backend, kept, fetch, waitMs, memoryShare, expectedMs, readMs, alone, costMs);
  }

  private static double oldWeightsCostMs(Backend backend, long weights, Query query) {
    OptionalLong newest = query.newestWeights();
    if (newest.isEmpty() || weights >= newest.getAsLong()) {
      return 0;
    }
    double position = query.rolloutPosition().applyAsDouble(backend.entry().id());
    if (position < LOADING_NOW_POSITION) {
      return LOADING_MS;
    }
    return position < LOADING_NEXT_POSITION ? LOADING_NEXT_MS : OLD_WEIGHTS_MS;
  }

  private static int sharedTokens(Prompt prompt) {
    int size = prompt.parts().size();
    return size == 0 ? 0 : prompt.tokens() - prompt.parts().get(size - 1).tokens();
  }
}
