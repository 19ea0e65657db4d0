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
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * Where the shared parts of one prompt can be fetched from under one scope, and what that takes.
 * Stores keep what was saved there; engines keep what they read or fetched lately.
 */
final class PartSources {
  /** A move between data centres takes so many times as long; from the platform's pages. */
  static final double OTHER_DATA_CENTRE_FACTOR = 2;

  /** A fetch may take so many times as long as reading, since reading keeps an engine busy. */
  private static final double READ_PATIENCE = 1.5;

  /** A fetch must be expected to end within this share of the time that a belief lasts. */
  private static final double BELIEF_SHARE = 0.7;

  /** How long a fetch from an engine may take: it is no more use to a caller who waits. */
  private static final long ENGINE_FETCH_MS = PartStore.BELIEF_MS;

  /** An engine that answers nothing new loses this much of a fetch. */
  private static final double ENGINE_FIRST_MS = 4;

  private final String scope;
  private final Prompt prompt;
  private final EngineInfo info;
  private final PartStores stores;
  private final PeerLoads peerLoads;
  private final long now;
  private final List<List<Source>> byPart = new ArrayList<>();

  /** One that keeps a part: a store, or an engine if {@code store} is null. */
  record Source(
      String address, String dataCentre, @Nullable PartStore store, @Nullable Backend engine) {
    static Source of(PartStore store) {
      return new Source(store.info().address(), store.info().dataCentre(), store, null);
    }

    static Source of(Backend engine) {
      return new Source(engine.entry().address(), engine.entry().dataCentre(), null, engine);
    }
  }

  /**
   * What an engine fetches.
   *
   * @param sources one for each part, null where there is none or none is worth it
   * @param tokens those that the engine lacks and fetches; they follow what it keeps
   * @param ms the expected time until they are there
   * @param linkMs how long that keeps links busy
   */
  record Fetch(List<@Nullable Source> sources, int tokens, double ms, double linkMs) {}

  /**
   * Looks up who keeps the shared parts of a prompt.
   *
   * @param engines engines that tell what they keep
   */
  PartSources(
      String scope,
      Prompt prompt,
      EngineInfo info,
      PartStores stores,
      List<Backend> engines,
      PeerLoads peerLoads,
      long now) {
    this.scope = scope;
    this.prompt = prompt;
    this.info = info;
    this.stores = stores;
    this.peerLoads = peerLoads;
    this.now = now;
    int shared = prompt.parts().size() - 1;
    for (int i = 0; i < shared; i++) {
      Prompt.Part part = prompt.parts().get(i);
      List<Source> found = new ArrayList<>();
      for (PartStore store : stores.holding(scope, part, now)) {
        found.add(Source.of(store));
      }
      for (Backend engine : engines) {
        if (!engine.isSilent() && engine.kept().holds(scope, part, now)) {
          found.add(Source.of(engine));
        }
      }
      byPart.add(found);
    }
  }

  /**
   * Plans what an engine fetches. Parts that it is believed to keep get a source as well, since the
   * belief may be wrong and an engine fetches only what it lacks.
   *
   * @param keptTokens leading tokens that the engine is believed to keep
   * @param patienceMs how long a fetch may take at least, to be better than reading
   */
  Fetch plan(Backend target, int keptTokens, double patienceMs) {
    List<@Nullable Source> sources = new ArrayList<>();
    int tokens = 0;
    double waitMs = 0;
    double linkMs = 0;
    int end = 0;
    boolean unbroken = true;
    for (int i = 0; i < byPart.size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      end += part.tokens();
      Source source = best(i, target);
      double partMs = source == null ? 0 : fetchMs(source, target, part.tokens());
      int lacking = Math.max(0, Math.min(part.tokens(), end - keptTokens));
      if (source != null && !isWorth(source, target, part.tokens(), partMs, patienceMs)) {
        source = null;
      }
      sources.add(source);
      if (lacking == 0) {
        continue;
      }
      unbroken &= source != null;
      if (unbroken && source != null) {
        tokens += lacking;
        double partLinkMs = linkMs(source, target, part.tokens());
        waitMs = Math.max(waitMs, partMs - partLinkMs);
        linkMs += partLinkMs;
      }
    }
    sources.add(null);
    return new Fetch(sources, tokens, waitMs + linkMs, linkMs);
  }

  private @Nullable Source best(int index, Backend target) {
    Source best = null;
    double bestMs = Double.POSITIVE_INFINITY;
    int tokens = prompt.parts().get(index).tokens();
    for (Source source : byPart.get(index)) {
      if (source.engine() == target) {
        continue;
      }
      double ms = fetchMs(source, target, tokens);
      if (ms < bestMs) {
        bestMs = ms;
        best = source;
      }
    }
    return best;
  }

  private double fetchMs(Source source, Backend target, int tokens) {
    double backlogMs = target.backlogMs(now, peerLoads);
    double firstMs = ENGINE_FIRST_MS;
    PartStore store = source.store();
    if (store != null) {
      backlogMs = Math.max(backlogMs, stores.backlogMs(store));
      firstMs = store.info().firstMs();
    }
    return firstMs + backlogMs + linkMs(source, target, tokens);
  }

  private double linkMs(Source source, Backend target, int tokens) {
    String targetCentre = target.entry().dataCentre();
    PartStore store = source.store();
    if (store != null) {
      return store.linkMs(tokens, info, targetCentre);
    }
    double bytesPerMs = info.linkMbps() * PartStore.MEGABIT_BYTES / PartStore.MS_PER_SECOND;
    double factor = source.dataCentre().equals(targetCentre) ? 1 : OTHER_DATA_CENTRE_FACTOR;
    return tokens * factor * info.tokenBytes() / bytesPerMs;
  }

  private boolean isWorth(Source source, Backend target, int tokens, double ms, double patienceMs) {
    double leftMs = source.store() == null ? ENGINE_FETCH_MS : source.store().fetchUntilMs() - now;
    double readMs = tokens * target.msPerToken();
    return ms <= Math.max(readMs * READ_PATIENCE, patienceMs) && ms <= leftMs * BELIEF_SHARE;
  }

  /**
   * Returns the moves of a planned fetch, and of saving what no store has, and notes them.
   *
   * @param request whose fetches these are, for {@link PartStores#fetched}
   * @param keptTokens leading tokens that the engine is believed to keep
   */
  PartMoves moves(Object request, Backend target, Fetch fetch, int keptTokens) {
    return new PartMoves(
        order(request, target, fetch, keptTokens),
        stores.save(scope, prompt, info, target),
        untilMs(fetch));
  }

  private long untilMs(Fetch fetch) {
    long until = now + ENGINE_FETCH_MS;
    for (Source source : fetch.sources()) {
      if (source != null && source.store() != null) {
        until = Math.min(until, source.store().fetchUntilMs());
      }
    }
    return until;
  }

  private List<String> order(Object request, Backend target, Fetch fetch, int keptTokens) {
    List<String> addresses = new ArrayList<>();
    int end = 0;
    for (int i = 0; i < fetch.sources().size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      end += part.tokens();
      Source source = fetch.sources().get(i);
      addresses.add(source == null ? "" : source.address());
      if (source != null && end > keptTokens) {
        double linkMs = linkMs(source, target, part.tokens());
        target.backlog().add(request, linkMs, fetch.ms(), now);
        if (source.store() != null) {
          source.store().backlog().add(request, linkMs, fetch.ms(), now);
        }
      }
    }
    return addresses;
  }
}
