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
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.LoadExchange.StoreNewsBoard;
import org.landingtrack.internal.loads.LoadNews.Kind;
import org.landingtrack.internal.loads.StoreNews;
import org.landingtrack.internal.loads.StoreNews.Change;

/**
 * Receives the updates of part stores, polled by this VM or forwarded by another one, applies them
 * to {@link PartStores} and forwards new ones to other VMs.
 *
 * <p>Each message repeats the recent changes, so that a lost message is made up for by the next
 * ones. If a change is missing nevertheless, the full list of the store is requested. A missed
 * change may cost a fetch, but never makes a part look available that is not there. Runs on the
 * event loop.
 */
public final class PartRelay implements StoreNewsBoard {
  /** Time in milliseconds for which a change is repeated: seven rounds of messages. */
  private static final long REPEAT_MS = 700;

  /** Maximum number of changes of one store in one message. */
  private static final int MAX_CHANGES = 40;

  /** Minimum interval between requests for the full list of a store after gaps, in ms. */
  private static final long LIST_EVERY_MS = 15_000;

  /** A store counts as polled by this VM if it answered this VM within this time, in ms. */
  private static final long ASKED_MS = 1_000;

  private final EventLoop loop;
  private final PartStores parts;
  private final ServersClock clock;
  private final Consumer<String> wantList;
  private final Map<String, Relayed> stores = new HashMap<>();
  private Set<String> newInRound = new HashSet<>();
  private Set<String> newSince = new HashSet<>();

  /** The state of one store. */
  private static final class Relayed {
    private long epoch = -1;
    private long next = -1;
    private long serversMs = Long.MIN_VALUE;
    private long listWantedAtMs = Long.MIN_VALUE / 2;
    private long askedAtMs = Long.MIN_VALUE / 2;
    private final List<Recent> recent = new ArrayList<>();
  }

  /**
   * A recent change.
   *
   * @param from number of the change before it
   * @param heardAtMs when this VM received it, on the event loop's clock
   */
  private record Recent(Change change, long from, long heardAtMs) {}

  /**
   * Creates a relay.
   *
   * @param requestList requests the full list of the store at an address; the answer is passed to
   *     {@link #listed}
   */
  public PartRelay(
      EventLoop loop, PartStores parts, ServersClock clock, Consumer<String> requestList) {
    this.loop = loop;
    this.parts = parts;
    this.clock = clock;
    this.wantList = requestList;
  }

  /**
   * Receives the full list of the parts in a store.
   *
   * @param epoch identifies the incarnation of the store; it changes with each restart
   * @param askedAtMs when the list was requested, on the event loop's clock; a list has no
   *     timestamp of its own, but is not older than that
   * @param next number of the last change that the list contains
   * @param held the tokens of each part, by its key
   */
  public void listed(
      String address, long epoch, long askedAtMs, long next, Map<String, Integer> held) {
    long now = loop.millis();
    long serversMs = clock.at(askedAtMs).orElse(Long.MIN_VALUE);
    Relayed store = stores.computeIfAbsent(address, name -> new Relayed());
    if (isOlderStart(store, epoch, serversMs)) {
      return;
    }
    noteUnheard(store, address, epoch, next, held, now);
    begin(store, epoch);
    store.next = next;
    store.serversMs = Math.max(store.serversMs, serversMs);
    parts.listed(address, epoch, askedAtMs, held);
    if (store.serversMs > Long.MIN_VALUE) {
      newSince.add(address);
    }
  }

  /** Forwards parts in a list of which the store never sent a change. */
  private void noteUnheard(
      Relayed store, String address, long epoch, long next, Map<String, Integer> held, long now) {
    PartStore known = parts.find(address);
    if (known == null || store.epoch != epoch || !isAskedHere(store, now)) {
      return;
    }
    held.forEach(
        (key, tokens) -> {
          if (!known.holds(key)) {
            store.recent.add(new Recent(new Change(true, key, tokens), next, now));
          }
        });
  }

  /** Receives the answer of a store that this VM polled. */
  public void answered(StoreNews news) {
    take(news, true);
  }

  @Override
  public void heard(StoreNews news) {
    take(news, false);
  }

  private void take(StoreNews news, boolean polledHere) {
    long now = loop.millis();
    parts.toldEarlier(clock.told(news.serversMs(), now));
    Relayed store = stores.computeIfAbsent(news.address(), name -> new Relayed());
    if (isOlderStart(store, news.epoch(), news.serversMs())) {
      return;
    }
    boolean hasGap = store.epoch != news.epoch() ? news.from() > 0 : news.from() > store.next;
    begin(store, news.epoch());
    if (hasGap && now - store.listWantedAtMs >= LIST_EVERY_MS) {
      store.listWantedAtMs = now;
      wantList.accept(news.address());
    }
    long before = store.next;
    store.next = Math.max(store.next, news.next());
    boolean isNewer = news.serversMs() > store.serversMs;
    store.serversMs = Math.max(store.serversMs, news.serversMs());
    store.askedAtMs = polledHere ? now : store.askedAtMs;
    apply(news, store);
    if (polledHere || isNewer) {
      for (Change change : news.changes()) {
        store.recent.add(new Recent(change, Math.min(before, news.from()), now));
      }
      newSince.add(news.address());
    }
  }

  private void apply(StoreNews news, Relayed store) {
    Map<String, Integer> added = new HashMap<>();
    List<String> removed = new ArrayList<>();
    for (Change change : news.changes()) {
      if (change.kept()) {
        added.put(change.key(), change.tokens());
        removed.remove(change.key());
      } else {
        removed.add(change.key());
        added.remove(change.key());
      }
    }
    long atMs = clock.loopMs(store.serversMs, loop.millis());
    parts.changed(news.address(), news.epoch(), atMs, added, removed);
  }

  private static boolean isAskedHere(Relayed store, long now) {
    return now - store.askedAtMs <= ASKED_MS;
  }

  /** Returns true for a message that was overtaken: it is from an earlier incarnation. */
  private static boolean isOlderStart(Relayed store, long epoch, long serversMs) {
    return store.epoch != epoch && store.epoch >= 0 && serversMs <= store.serversMs;
  }

  private static void begin(Relayed store, long epoch) {
    if (store.epoch != epoch) {
      store.epoch = epoch;
      store.next = -1;
      store.recent.clear();
    }
  }

  @Override
  public void nextRound() {
    newInRound = newSince;
    newSince = new HashSet<>();
    long oldest = loop.millis() - REPEAT_MS;
    stores.values().forEach(store -> store.recent.removeIf(recent -> recent.heardAtMs() < oldest));
  }

  @Override
  public List<StoreNews> news(Kind kind) {
    List<StoreNews> news = new ArrayList<>();
    if (kind == Kind.OWN) {
      return news;
    }
    for (String address : newInRound) {
      Relayed store = stores.get(address);
      if (store != null && (kind == Kind.ALL || isAskedHere(store, loop.millis()))) {
        news.add(newsOf(address, store));
      }
    }
    return news;
  }

  private static StoreNews newsOf(String address, Relayed store) {
    int size = store.recent.size();
    List<Recent> reported = store.recent.subList(Math.max(0, size - MAX_CHANGES), size);
    long from = store.next;
    Map<String, Change> lastByKey = new LinkedHashMap<>();
    for (Recent recent : reported) {
      from = Math.min(from, recent.from());
      lastByKey.put(recent.change().key(), recent.change());
    }
    @Nullable Recent oldest = size > MAX_CHANGES ? reported.get(0) : null;
    return new StoreNews(
        address,
        store.epoch,
        store.serversMs,
        oldest == null ? from : oldest.from(),
        store.next,
        List.copyOf(lastByKey.values()));
  }
}
