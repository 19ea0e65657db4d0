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
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.PartStore.StoreInfo;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * The part stores that this VM knows: finds the stores from which a prompt part can be fetched, and
 * selects the ones where parts are saved. Not thread-safe; used on the event loop.
 */
public final class PartStores {
  /** Parts with fewer tokens than this take less time to prefill than to transfer. */
  private static final int MIN_SAVED_TOKENS = 64;

  /** Parts with more tokens than this are saved in the largest stores, except a prompt's first. */
  private static final int LONG_PART_TOKENS = 1_000;

  /**
   * Maximum expected time of a save in milliseconds. Engines give up a transfer that would wait for
   * two seconds; half of that leaves a safe margin.
   */
  private static final double MAX_SAVE_WAIT_MS = 1_000;

  /**
   * The owner of all saves in the link backlogs, since no answer reports their end. Saves count
   * when the store for another save is selected, but not in the expected time of fetches: counted
   * there, they caused more prefill than necessary.
   */
  private static final Object SAVE_OWNER = new Object();

  private final EventLoop loop;
  private final PeerLoads peerLoads;
  private final Map<String, PartStore> byAddress = new HashMap<>();
  private List<PartStore> fastest = List.of();
  private List<PartStore> largest = List.of();

  /** Creates a view without stores; {@code peerLoads} reports the transfers of other VMs. */
  public PartStores(EventLoop loop, PeerLoads peerLoads) {
    this.loop = loop;
    this.peerLoads = peerLoads;
  }

  /** Applies the stores of a configuration; returns those that are new or changed. */
  public List<StoreInfo> configure(Collection<StoreInfo> stores) {
    List<StoreInfo> added = new ArrayList<>();
    Map<String, PartStore> previous = new HashMap<>(byAddress);
    byAddress.clear();
    for (StoreInfo info : stores) {
      PartStore known = previous.get(info.address());
      if (known == null || !known.info().equals(info)) {
        known = new PartStore(info);
        added.add(info);
      }
      byAddress.put(info.address(), known);
    }
    Comparator<PartStore> bySpeed = Comparator.comparingDouble(store -> -store.info().linkMbps());
    Comparator<PartStore> bySize =
        Comparator.comparingLong(store -> -store.info().capacityTokens());
    fastest = topRanked(bySpeed);
    largest = topRanked(bySize);
    return added;
  }

  /** Returns all stores that rank first by {@code order}, sorted by address. */
  private List<PartStore> topRanked(Comparator<PartStore> order) {
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

  /** Returns a store by its address, or null if it is not configured. */
  @Nullable PartStore find(String address) {
    return byAddress.get(address);
  }

  /**
   * Corrects the times of the last answers of all stores: they were {@code ms} earlier than
   * assumed. Without this, an answer that waited in the socket while this VM was suspended, and was
   * the first to report the servers' time, was treated as new and used for 0.9 s.
   */
  void backdateAnswers(long ms) {
    byAddress.values().forEach(store -> store.backdateAnswer(ms));
  }

  /** Applies the full list of a store: the tokens of each part at {@code atMs}, by SCOPE/PART. */
  void replaceParts(String address, long epoch, long atMs, Map<String, Integer> parts) {
    PartStore store = byAddress.get(address);
    if (store != null) {
      store.replaceAll(epoch, parts, atMs, loop.millis());
    }
  }

  /** Applies the changes in a store up to {@code atMs}. */
  void applyChanges(
      String address,
      long epoch,
      long atMs,
      Map<String, Integer> added,
      Collection<String> removed) {
    PartStore store = byAddress.get(address);
    if (store == null) {
      return;
    }
    store.recordAnswer(epoch, atMs, loop.millis());
    added.forEach(store::addPart);
    removed.forEach(store::removePart);
  }

  /** Returns the stores from which a part can be fetched. */
  List<PartStore> storesWith(String key, long now) {
    List<PartStore> holding = new ArrayList<>();
    for (PartStore store : byAddress.values()) {
      if (store.canFetch(key, now)) {
        holding.add(store);
      }
    }
    return holding;
  }

  /**
   * Selects the stores in which the engine saves those shared parts of a prompt that no store has,
   * and records the saves. Returns the store's address for each part; empty if it is not saved.
   *
   * @param engine the engine that will have the parts
   * @param allowed accepts the stores in which the parts may be stored
   */
  List<String> startSaves(
      String scope, Prompt prompt, EngineInfo info, Backend engine, Predicate<PartStore> allowed) {
    long now = loop.millis();
    List<String> save = new ArrayList<>();
    int shared = prompt.parts().size() - 1;
    for (int i = 0; i < prompt.parts().size(); i++) {
      Prompt.Part part = prompt.parts().get(i);
      boolean isSkipped = i >= shared || !storesWith(key(scope, part), now).isEmpty();
      PartStore target =
          isSkipped
              ? null
              : saveTarget(scope, prompt, i, info, engine.entry().dataCentre(), allowed, now);
      save.add(target == null ? "" : target.info().address());
      if (target != null) {
        target.recordSave(key(scope, part), now);
        double linkMs = target.linkMs(part.tokens(), info, engine.entry().dataCentre());
        double endsInMs = part.tokens() * engine.msPerToken() + backlogMs(target) + linkMs;
        target.saveBacklog().add(SAVE_OWNER, linkMs, endsInMs, now);
      }
    }
    return save;
  }

  /** Returns this VM's fetches over the links of stores, as it reports them to other VMs. */
  List<Load> ownLoads() {
    long now = loop.millis();
    List<Load> loads = new ArrayList<>();
    for (PartStore store : byAddress.values()) {
      long ms = (long) store.fetchBacklog().busyMs(now);
      if (ms > 0) {
        loads.add(new Load(store.addressHash(), 0, store.fetchBacklog().size(), ms, 0));
      }
    }
    return loads;
  }

  /** Records that the fetches of a request have ended. */
  void endFetches(Object request) {
    for (PartStore store : byAddress.values()) {
      store.fetchBacklog().removeAll(request);
    }
  }

  /** Returns the time in ms for which the known fetches of all VMs occupy a store's link. */
  double backlogMs(PartStore store) {
    return store.fetchBacklog().busyMs(loop.millis()) + peerLoads.transferMs(store.addressHash());
  }

  /**
   * Selects the store for a part, or returns null if it is not saved. Short parts, and the first
   * part, which most prompts share, are saved in the fastest stores; long ones in the largest
   * stores, as they would fill the fast ones. If none of these can take the part, any other store
   * may.
   */
  private @Nullable PartStore saveTarget(
      String scope,
      Prompt prompt,
      int index,
      EngineInfo info,
      String dataCentre,
      Predicate<PartStore> allowed,
      long now) {
    Prompt.Part part = prompt.parts().get(index);
    String key = key(scope, part);
    if (part.tokens() < MIN_SAVED_TOKENS || isSavedAnywhere(key, now)) {
      return null;
    }
    boolean isLong = index > 0 && part.tokens() > LONG_PART_TOKENS;
    List<PartStore> best = isLong ? largest : fastest;
    PartStore preferred = earliestStore(best, key, part, info, dataCentre, allowed, now);
    return preferred != null
        ? preferred
        : earliestStore(byAddress.values(), key, part, info, dataCentre, allowed, now);
  }

  /** Returns true if any store has the part or is saving it, even if its state has expired. */
  private boolean isSavedAnywhere(String key, long now) {
    for (PartStore store : byAddress.values()) {
      if (store.hasPart(key) || store.isSaving(key, now)) {
        return true;
      }
    }
    return false;
  }

  private @Nullable PartStore earliestStore(
      Collection<PartStore> stores,
      String key,
      Prompt.Part part,
      EngineInfo info,
      String dataCentre,
      Predicate<PartStore> allowed,
      long now) {
    long hash = Hashes.placement(part.key());
    PartStore best = null;
    double bestMs = MAX_SAVE_WAIT_MS;
    for (PartStore store : stores) {
      double ms =
          backlogMs(store)
              + store.saveBacklog().busyMs(now)
              + store.linkMs(part.tokens(), info, dataCentre);
      boolean better =
          ms < bestMs || (ms == bestMs && best != null && isPreferred(hash, store, best));
      if (better && allowed.test(store) && store.canSave(key, part.tokens(), now)) {
        bestMs = ms;
        best = store;
      }
    }
    return best;
  }

  /** Breaks ties by hash, so that parts are spread evenly over equal stores. */
  private static boolean isPreferred(long partHash, PartStore store, PartStore other) {
    return Hashes.combine(partHash, store.addressHash())
        > Hashes.combine(partHash, other.addressHash());
  }

  static String key(String scope, Prompt.Part part) {
    return scope + '/' + part.key();
  }

  /** Returns the keys of a prompt's parts, in their order. */
  static List<String> keys(String scope, Prompt prompt) {
    List<String> keys = new ArrayList<>(prompt.parts().size());
    for (Prompt.Part part : prompt.parts()) {
      keys.add(key(scope, part));
    }
    return keys;
  }
}
