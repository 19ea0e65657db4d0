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
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Plans the fetches of one prompt's shared parts in one scope: the stores that hold them and the
 * time that a fetch takes. Whatever does not depend on the engine is computed once, since a plan is
 * made for each candidate engine. Not thread-safe; used on the event loop.
 */
final class PartFetchPlanner {
  /**
   * Factor by which a transfer between data centres is slower, per the platform's documentation.
   */
  static final double OTHER_DATA_CENTRE_FACTOR = 2;

  /** A fetch may take longer than prefill by this factor, since prefill occupies the engine. */
  private static final double MAX_PREFILL_MULTIPLE = 1.5;

  /** Share of the remaining validity of a store's state within which a fetch is to end. */
  private static final double MAX_VALIDITY_SHARE = 0.7;

  private final String scope;
  private final Prompt prompt;
  private final EngineInfo info;
  private final PartStores stores;
  private final Predicate<PartStore> allowed;
  private final PeerLoads peerLoads;
  private final long now;
  private final List<String> keys;
  private final List<List<Source>> sourcesByPart = new ArrayList<>();

  /**
   * A store that holds a part. Times are in milliseconds.
   *
   * @param backlogMs time for which its link is busy
   * @param sameDataCentreMs link time of the fetch within a data centre
   * @param crossDataCentreMs link time of the fetch between data centres
   */
  private record Source(
      PartStore store, double backlogMs, double sameDataCentreMs, double crossDataCentreMs) {
    double linkMs(String dataCentre) {
      return store.info().dataCentre().equals(dataCentre) ? sameDataCentreMs : crossDataCentreMs;
    }
  }

  /**
   * The planned fetch of an engine.
   *
   * @param sources the source of each part, or null if there is none or a fetch is not worthwhile
   * @param tokens number of tokens that the engine lacks and fetches; they directly follow its
   *     cached prefix
   * @param ms expected time until the fetch ends, in milliseconds
   * @param linkMs time for which the fetch occupies the links, in milliseconds
   */
  record FetchPlan(List<@Nullable PartStore> sources, int tokens, double ms, double linkMs) {}

  /**
   * Looks up the stores that hold the shared parts of a prompt.
   *
   * @param allowed accepts the stores in which the prompt's KV cache entries may be stored
   * @param now the time on the event loop's clock, in milliseconds
   */
  PartFetchPlanner(
      String scope,
      Prompt prompt,
      EngineInfo info,
      PartStores stores,
      Predicate<PartStore> allowed,
      PeerLoads peerLoads,
      long now) {
    this.scope = scope;
    this.prompt = prompt;
    this.info = info;
    this.stores = stores;
    this.allowed = allowed;
    this.peerLoads = peerLoads;
    this.now = now;
    this.keys = PartStores.keys(scope, prompt);
    int shared = prompt.parts().size() - 1;
    for (int i = 0; i < shared; i++) {
      sourcesByPart.add(findSources(i));
    }
  }

  private List<Source> findSources(int index) {
    int tokens = prompt.parts().get(index).tokens();
    List<Source> found = new ArrayList<>();
    for (PartStore store : stores.storesWith(keys.get(index), now)) {
      if (allowed.test(store)) {
        found.add(
            new Source(
                store,
                stores.backlogMs(store),
                store.linkMs(tokens, info, true),
                store.linkMs(tokens, info, false)));
      }
    }
    return found;
  }

  /** Returns the cache keys of the prompt's parts, in order. */
  List<String> keys() {
    return keys;
  }

  /**
   * Plans the fetch of an engine. Parts that the engine has probably cached get a source as well,
   * since the estimate may be wrong and an engine fetches only the parts that it lacks.
   *
   * @param keptTokens leading tokens that the engine has probably cached
   * @param maxFetchMs time in milliseconds that a fetch may take even if prefill is faster
   */
  FetchPlan plan(Backend target, int keptTokens, double maxFetchMs) {
    List<@Nullable PartStore> sources = new ArrayList<>();
    String dataCentre = target.entry().dataCentre();
    double targetMs = sourcesByPart.isEmpty() ? 0 : target.linkBacklogMs(now, peerLoads);
    int tokens = 0;
    double waitMs = 0;
    double linkMs = 0;
    int end = 0;
    boolean isContiguous = true;
    for (int i = 0; i < sourcesByPart.size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      end += part.tokens();
      Source source = fastestSource(sourcesByPart.get(i), targetMs, dataCentre);
      double partMs = source == null ? 0 : fetchMs(source, targetMs, dataCentre);
      int missingTokens = Math.max(0, Math.min(part.tokens(), end - keptTokens));
      if (source != null
          && !isWorthwhile(source.store, target, part.tokens(), partMs, maxFetchMs)) {
        source = null;
      }
      sources.add(source == null ? null : source.store);
      if (missingTokens == 0) {
        continue;
      }
      isContiguous &= source != null;
      if (isContiguous && source != null) {
        tokens += missingTokens;
        double partLinkMs = source.linkMs(dataCentre);
        waitMs = Math.max(waitMs, partMs - partLinkMs);
        linkMs += partLinkMs;
      }
    }
    sources.add(null);
    return new FetchPlan(sources, tokens, waitMs + linkMs, linkMs);
  }

  private static @Nullable Source fastestSource(
      List<Source> found, double targetMs, String dataCentre) {
    Source best = null;
    double bestMs = Double.POSITIVE_INFINITY;
    for (Source source : found) {
      double ms = fetchMs(source, targetMs, dataCentre);
      if (ms < bestMs) {
        bestMs = ms;
        best = source;
      }
    }
    return best;
  }

  private static double fetchMs(Source source, double targetMs, String dataCentre) {
    double backlogMs = Math.max(targetMs, source.backlogMs);
    return source.store.info().firstMs() + backlogMs + source.linkMs(dataCentre);
  }

  private double linkMs(PartStore source, Backend target, int tokens) {
    return source.linkMs(tokens, info, target.entry().dataCentre());
  }

  private boolean isWorthwhile(
      PartStore source, Backend target, int tokens, double ms, double maxFetchMs) {
    double leftMs = source.validUntilMs() - now;
    double readMs = tokens * target.msPerToken();
    return ms <= Math.max(readMs * MAX_PREFILL_MULTIPLE, maxFetchMs)
        && ms <= leftMs * MAX_VALIDITY_SHARE;
  }

  /**
   * Returns the transfers of a planned fetch and of the saves of parts that no store holds, and
   * records them in the link backlogs.
   *
   * @param request the owner of the fetches, for {@link PartStores#endFetches}
   * @param keptTokens leading tokens that the engine has probably cached
   */
  PartTransfers startTransfers(Object request, Backend target, FetchPlan fetch, int keptTokens) {
    return new PartTransfers(
        startFetches(request, target, fetch, keptTokens),
        stores.startSaves(scope, prompt, info, target, allowed),
        fetchDeadlineMs(fetch));
  }

  private static long fetchDeadlineMs(FetchPlan fetch) {
    long until = Long.MAX_VALUE;
    for (PartStore source : fetch.sources()) {
      if (source != null) {
        until = Math.min(until, source.validUntilMs());
      }
    }
    return until;
  }

  private List<String> startFetches(
      Object request, Backend target, FetchPlan fetch, int keptTokens) {
    List<String> addresses = new ArrayList<>();
    int end = 0;
    for (int i = 0; i < fetch.sources().size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      end += part.tokens();
      PartStore source = fetch.sources().get(i);
      addresses.add(source == null ? "" : source.info().address());
      if (source != null && end > keptTokens) {
        double linkMs = linkMs(source, target, part.tokens());
        target.linkBacklog().add(request, linkMs, fetch.ms(), now);
        source.fetchBacklog().add(request, linkMs, fetch.ms(), now);
      }
    }
    return addresses;
  }
}
