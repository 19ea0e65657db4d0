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

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * A straightforward reference implementation of engine selection: it looks everything up anew for
 * each engine, store and part. {@link ServerSelector} and {@link PartFetchPlanner}, which compute
 * shared values once, must give the same results.
 */
final class ReferenceSelector {
  private final PartStores stores;
  private final PeerLoads peerLoads;
  private final EngineInfo info;
  private final Prompt prompt;
  private final String dataCentre;
  private final OptionalLong newest;
  private final long keyHash;
  private final double targetLeftMs;
  private final Predicate<PartStore> allowed;
  private final long now;

  /** The result of a selection. */
  record Result(
      Backend backend,
      int cachedTokens,
      List<@Nullable PartStore> sources,
      int fetchedTokens,
      double expectedMs,
      double costMs) {}

  private record FetchResult(
      List<@Nullable PartStore> sources, int tokens, double ms, double linkMs) {}

  ReferenceSelector(
      PartStores stores,
      PeerLoads peerLoads,
      EngineInfo info,
      Prompt prompt,
      String dataCentre,
      OptionalLong newest,
      long keyHash,
      double targetLeftMs,
      Predicate<PartStore> allowed,
      long now) {
    this.stores = stores;
    this.peerLoads = peerLoads;
    this.info = info;
    this.prompt = prompt;
    this.dataCentre = dataCentre;
    this.newest = newest;
    this.keyHash = keyHash;
    this.targetLeftMs = targetLeftMs;
    this.allowed = allowed;
    this.now = now;
  }

  Result select(List<Backend> candidates) {
    Backend affinityServer = candidates.get(0);
    for (Backend each : candidates) {
      if (Hashes.combine(keyHash, each.idHash())
          > Hashes.combine(keyHash, affinityServer.idHash())) {
        affinityServer = each;
      }
    }
    Result best = null;
    for (Backend each : candidates) {
      Result result = evaluate(each, each == affinityServer);
      best = best == null || result.costMs < best.costMs ? result : best;
    }
    return best;
  }

  private Result evaluate(Backend engine, boolean hasAffinity) {
    double penaltyMs = engine.entry().dataCentre().equals(dataCentre) ? 0 : 12;
    penaltyMs += engine.isRecentlyRefused(now) ? 400 : 0;
    long weights = engine.weightVersion(prompt.model());
    penaltyMs += newest.isEmpty() || weights >= newest.getAsLong() ? 0 : 40;
    String scope = "v" + weights;
    int kept = engine.cachedParts().cachedPrefixTokens(scope, prompt);
    FetchResult fetch = fetch(engine, scope, kept);
    int prefillTokens = prompt.tokens() - kept - fetch.tokens;
    List<Prompt.Part> parts = prompt.parts();
    int shared = prompt.tokens() - parts.get(parts.size() - 1).tokens();
    if (hasAffinity && fetch.tokens == 0) {
      prefillTokens -= (int) (0.5 * Math.max(0, shared - kept));
    }
    long hash = engine.incarnationHash();
    double waitMs =
        (engine.pendingTokens() + peerLoads.pendingTokens(hash)) * engine.msPerToken()
            + (engine.inFlight() + peerLoads.running(hash)) * 1.0
            + engine.timing().lagMs(now);
    long reservedTokens = engine.memoryTokensInUse() + peerLoads.memoryTokensInUse(hash);
    double share =
        reservedTokens == 0
            ? 0
            : (double) (reservedTokens + prompt.memoryTokens()) / Math.max(1, info.kvCacheTokens());
    double memoryMs = Math.max(0, share - EngineAdmission.MEMORY_SHARE) * 1_000;
    double expectedMs = prefillTokens * engine.msPerToken() + fetch.ms + waitMs + memoryMs;
    double evictionMs = fetch.tokens * engine.msPerToken() * 0.4;
    double costMs = expectedMs + fetch.linkMs + evictionMs + penaltyMs + (hasAffinity ? 0 : 10);
    return new Result(engine, kept, fetch.sources, fetch.tokens, expectedMs, costMs);
  }

  private FetchResult fetch(Backend engine, String scope, int kept) {
    List<@Nullable PartStore> sources = new ArrayList<>();
    int tokens = 0;
    double waitMs = 0;
    double linkMs = 0;
    int end = 0;
    boolean isContiguous = true;
    for (int i = 0; i < prompt.parts().size() - 1; i++) {
      Prompt.Part part = prompt.parts().get(i);
      end += part.tokens();
      PartStore source = fastestStore(engine, scope, part);
      double ms = source == null ? 0 : fetchMs(source, engine, part.tokens());
      double maxFetchMs = Math.max(part.tokens() * engine.msPerToken() * 1.5, 0.4 * targetLeftMs);
      if (source != null
          && (ms > maxFetchMs || ms > (double) (source.validUntilMs() - now) * 0.7)) {
        source = null;
      }
      sources.add(source);
      int missingTokens = Math.max(0, Math.min(part.tokens(), end - kept));
      isContiguous &= missingTokens == 0 || source != null;
      if (missingTokens > 0 && isContiguous) {
        tokens += missingTokens;
        double partLinkMs = source.linkMs(part.tokens(), info, engine.entry().dataCentre());
        waitMs = Math.max(waitMs, ms - partLinkMs);
        linkMs += partLinkMs;
      }
    }
    sources.add(null);
    return new FetchResult(sources, tokens, waitMs + linkMs, linkMs);
  }

  private @Nullable PartStore fastestStore(Backend engine, String scope, Prompt.Part part) {
    PartStore best = null;
    for (PartStore store : stores.storesWith(scope + '/' + part.key(), now)) {
      boolean better =
          best == null
              || fetchMs(store, engine, part.tokens()) < fetchMs(best, engine, part.tokens());
      best = allowed.test(store) && better ? store : best;
    }
    return best;
  }

  private double fetchMs(PartStore store, Backend engine, int tokens) {
    double engineMs =
        engine.linkBacklog().busyMs(now) + peerLoads.transferMs(engine.incarnationHash());
    double storeMs = store.fetchBacklog().busyMs(now) + peerLoads.transferMs(store.addressHash());
    return store.info().firstMs()
        + Math.max(engineMs, storeMs)
        + store.linkMs(tokens, info, engine.entry().dataCentre());
  }
}
