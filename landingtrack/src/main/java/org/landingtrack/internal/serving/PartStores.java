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
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.serving.PartStore.StoreInfo;

/** The stores of prompt parts: what may be fetched from where, and what is saved where. */
public final class PartStores {
  /** Parts of fewer tokens than this are quicker read than moved. */
  private static final int MIN_TOKENS = 64;

  /** Bytes of a token's state until a service tells its own. */
  private static final double BYTES_PER_TOKEN = 18_432;

  /** A fetch may take so many times as long as reading, since reading keeps an engine busy. */
  private static final double FETCH_PATIENCE = 1.5;

  /** Longer parts than this go to the largest stores, but for a prompt's first one. */
  private static final int LONG_TOKENS = 1_000;

  private final EventLoop loop;
  private final Map<String, PartStore> byAddress = new HashMap<>();
  private List<PartStore> fastest = List.of();
  private List<PartStore> largest = List.of();

  public PartStores(EventLoop loop) {
    this.loop = loop;
  }

  /** Takes the stores of a configuration; returns those that are new. */
  public List<StoreInfo> configure(Collection<StoreInfo> stores) {
    List<StoreInfo> added = new ArrayList<>();
    Map<String, PartStore> before = new HashMap<>(byAddress);
    byAddress.clear();
    for (StoreInfo info : stores) {
      PartStore known = before.get(info.address());
      if (known == null || !known.info().equals(info)) {
        known = new PartStore(info);
        added.add(info);
      }
      byAddress.put(info.address(), known);
    }
    Comparator<PartStore> bySpeed = Comparator.comparingDouble(store -> -store.info().linkMbps());
    Comparator<PartStore> bySize =
        Comparator.comparingLong(store -> -store.info().capacityTokens());
    fastest = first(bySpeed);
    largest = first(bySize);
    return added;
  }

  /** Returns the stores that are equal in what counts, the best first. */
  private List<PartStore> first(Comparator<PartStore> order) {
    List<PartStore> all = new ArrayList<>(byAddress.values());
    all.sort(order.thenComparing(store -> store.info().address()));
    List<PartStore> best = new ArrayList<>();
    for (PartStore store : all) {
      if (best.isEmpty() || order.compare(best.get(0), store) == 0) {
        best.add(store);
      }
    }
    return best;
  }

  /** Returns a store by its address, or null if the configuration lacks it. */
  @Nullable PartStore find(String address) {
    return byAddress.get(address);
  }

  /** Takes all that a store kept at a time, each as SCOPE/PART with its tokens. */
  void listed(String address, long epoch, long atMs, Map<String, Integer> parts) {
    PartStore store = byAddress.get(address);
    if (store != null) {
      store.replaceAll(epoch, parts, atMs, loop.millis());
    }
  }

  /** Takes what had changed in a store at a time. */
  void changed(
      String address,
      long epoch,
      long atMs,
      Map<String, Integer> added,
      Collection<String> removed) {
    PartStore store = byAddress.get(address);
    if (store == null) {
      return;
    }
    store.confirmed(epoch, atMs, loop.millis());
    added.forEach(store::added);
    removed.forEach(store::removed);
  }

  /** Returns how many leading tokens of a prompt, from a first part on, can be fetched. */
  int fetchableTokens(String scope, Prompt prompt) {
    int sum = 0;
    long now = loop.millis();
    for (Prompt.Part part : prompt.parts()) {
      if (source(key(scope, part), now) == null) {
        break;
      }
      sum += part.tokens();
    }
    return sum;
  }

  /** Plans the moves of a prompt's shared parts, and notes what is saved. */
  PartMoves plan(String scope, Prompt prompt) {
    long now = loop.millis();
    long untilMs = Long.MAX_VALUE;
    List<String> fetch = new ArrayList<>();
    List<String> save = new ArrayList<>();
    int shared = prompt.parts().size() - 1;
    for (int i = 0; i < prompt.parts().size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      String key = key(scope, part);
      PartStore source = i < shared ? source(key, now) : null;
      if (source != null && !isWorthFetching(source, part.tokens())) {
        fetch.add("");
        save.add("");
        continue;
      }
      if (source != null) {
        source.fetching(part.tokens());
        fetch.add(source.info().address());
        save.add("");
        untilMs = Math.min(untilMs, source.fetchUntilMs());
        continue;
      }
      fetch.add("");
      PartStore target = i < shared ? target(key, part, i, now) : null;
      save.add(target == null ? "" : target.info().address());
      if (target != null) {
        target.saving(key, now);
      }
    }
    return new PartMoves(fetch, save, untilMs);
  }

  /** Where a store is slow, fetches pile up, and reading is quicker. */
  private static boolean isWorthFetching(PartStore store, int tokens) {
    double readMs = tokens * ServerChooser.MS_PER_TOKEN;
    return store.fetchMs(tokens, BYTES_PER_TOKEN) <= readMs * FETCH_PATIENCE;
  }

  /** Notes that the planned fetches of a prompt are over. */
  void fetched(Prompt prompt, PartMoves moves) {
    for (int i = 0; i < moves.fetch().size(); i++) {
      PartStore store = byAddress.get(moves.fetch().get(i));
      if (store != null) {
        store.fetched(prompt.parts().get(i).tokens());
      }
    }
  }

  private @Nullable PartStore source(String key, long now) {
    for (PartStore store : byAddress.values()) {
      if (store.canFetch(key, now)) {
        return store;
      }
    }
    return null;
  }

  private @Nullable PartStore target(String key, Prompt.Part part, int index, long now) {
    if (part.tokens() < MIN_TOKENS) {
      return null;
    }
    boolean isLong = index > 0 && part.tokens() > LONG_TOKENS;
    PartStore preferred = home(isLong ? largest : fastest, part);
    if (preferred == null || preferred.holds(key)) {
      return null;
    }
    return preferred.canSave(key, part.tokens(), now) ? preferred : null;
  }

  /** Returns the store where a part belongs; every VM finds the same one. */
  private static @Nullable PartStore home(List<PartStore> stores, Prompt.Part part) {
    long hash = Hashes.placement(part.key());
    PartStore best = null;
    for (PartStore store : stores) {
      if (best == null
          || Hashes.weight(hash, store.addressHash()) > Hashes.weight(hash, best.addressHash())) {
        best = store;
      }
    }
    return best;
  }

  static String key(String scope, Prompt.Part part) {
    return scope + '/' + part.key();
  }
}
