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
import org.landingtrack.internal.loads.GossipExchange.PartStoreReportHandler;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.PartStoreReport;
import org.landingtrack.internal.loads.PartStoreReport.Change;

/**
 * Receives the updates of part stores, polled by this VM or forwarded by another one, applies them
 * to {@link PartStores} and forwards new ones to other VMs.
 *
 * <p>Each message repeats the recent changes, so that a lost message is made up for by the next
 * ones. If a change is missing nevertheless, the full list of the store is requested. A missed
 * change may cost a fetch, but never makes a part look available that is not there. Runs on the
 * event loop.
 */
public final class PartStoreRelay implements PartStoreReportHandler {
  /** Time in milliseconds for which a change is repeated: seven rounds of messages. */
  private static final long REPEAT_MS = 700;

  /** Maximum number of changes of one store in one message. */
  private static final int MAX_CHANGES = 40;

  /** Minimum interval between requests for the full list of a store after gaps, in ms. */
  private static final long MIN_LIST_INTERVAL_MS = 15_000;

  /** A store counts as polled by this VM if it answered this VM within this time, in ms. */
  private static final long POLLED_WINDOW_MS = 1_000;

  private final EventLoop loop;
  private final PartStores parts;
  private final ServerClockEstimate clock;
  private final Consumer<String> listRequester;
  private final Map<String, RelayedStore> stores = new HashMap<>();
  private Set<String> updatedInRound = new HashSet<>();
  private Set<String> updatedSinceRound = new HashSet<>();

  /** The state of one store. */
  private static final class RelayedStore {
    private long epoch = -1;
    private long next = -1;
    private long serverTimeMs = Long.MIN_VALUE;
    private long listRequestedAtMs = Long.MIN_VALUE / 2;
    private long polledAtMs = Long.MIN_VALUE / 2;
    private final List<RecentChange> recentChanges = new ArrayList<>();
  }

  /**
   * A recent change.
   *
   * @param previousNumber number of the change before it
   * @param receivedAtMs when this VM received it, on the event loop's clock
   */
  private record RecentChange(Change change, long previousNumber, long receivedAtMs) {}

  /**
   * Creates a relay.
   *
   * @param requestList requests the full list of the store at an address; the answer is passed to
   *     {@link #receiveList}
   */
  public PartStoreRelay(
      EventLoop loop, PartStores parts, ServerClockEstimate clock, Consumer<String> requestList) {
    this.loop = loop;
    this.parts = parts;
    this.clock = clock;
    this.listRequester = requestList;
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
  public void receiveList(
      String address, long epoch, long askedAtMs, long next, Map<String, Integer> held) {
    long now = loop.millis();
    long serversMs = clock.serverTimeAt(askedAtMs).orElse(Long.MIN_VALUE);
    RelayedStore store = stores.computeIfAbsent(address, name -> new RelayedStore());
    if (isEarlierIncarnation(store, epoch, serversMs)) {
      return;
    }
    forwardUnreported(store, address, epoch, next, held, now);
    resetIfRestarted(store, epoch);
    store.next = next;
    store.serverTimeMs = Math.max(store.serverTimeMs, serversMs);
    parts.replaceParts(address, epoch, askedAtMs, held);
    if (store.serverTimeMs > Long.MIN_VALUE) {
      updatedSinceRound.add(address);
    }
  }

  /** Forwards parts in a list of which the store never sent a change. */
  private void forwardUnreported(
      RelayedStore store,
      String address,
      long epoch,
      long next,
      Map<String, Integer> held,
      long now) {
    PartStore known = parts.find(address);
    if (known == null || store.epoch != epoch || !isPolledHere(store, now)) {
      return;
    }
    held.forEach(
        (key, tokens) -> {
          if (!known.hasPart(key)) {
            store.recentChanges.add(new RecentChange(new Change(true, key, tokens), next, now));
          }
        });
  }

  /** Receives the answer of a store that this VM polled. */
  public void receiveAnswer(PartStoreReport news) {
    receive(news, true);
  }

  @Override
  public void receiveReport(PartStoreReport news) {
    receive(news, false);
  }

  private void receive(PartStoreReport news, boolean polledHere) {
    long now = loop.millis();
    parts.backdateAnswers(clock.observe(news.serverClockMs(), now));
    RelayedStore store = stores.computeIfAbsent(news.address(), name -> new RelayedStore());
    if (isEarlierIncarnation(store, news.epoch(), news.serverClockMs())) {
      return;
    }
    boolean hasGap = store.epoch != news.epoch() ? news.from() > 0 : news.from() > store.next;
    resetIfRestarted(store, news.epoch());
    if (hasGap && now - store.listRequestedAtMs >= MIN_LIST_INTERVAL_MS) {
      store.listRequestedAtMs = now;
      listRequester.accept(news.address());
    }
    long before = store.next;
    store.next = Math.max(store.next, news.next());
    boolean isNewer = news.serverClockMs() > store.serverTimeMs;
    store.serverTimeMs = Math.max(store.serverTimeMs, news.serverClockMs());
    store.polledAtMs = polledHere ? now : store.polledAtMs;
    apply(news, store);
    if (polledHere || isNewer) {
      for (Change change : news.changes()) {
        store.recentChanges.add(new RecentChange(change, Math.min(before, news.from()), now));
      }
      updatedSinceRound.add(news.address());
    }
  }

  private void apply(PartStoreReport news, RelayedStore store) {
    Map<String, Integer> added = new HashMap<>();
    List<String> removed = new ArrayList<>();
    for (Change change : news.changes()) {
      if (change.stored()) {
        added.put(change.key(), change.tokens());
        removed.remove(change.key());
      } else {
        removed.add(change.key());
        added.remove(change.key());
      }
    }
    long atMs = clock.loopTimeAt(store.serverTimeMs, loop.millis());
    parts.applyChanges(news.address(), news.epoch(), atMs, added, removed);
  }

  private static boolean isPolledHere(RelayedStore store, long now) {
    return now - store.polledAtMs <= POLLED_WINDOW_MS;
  }

  /** Returns true for a message that was overtaken: it is from an earlier incarnation. */
  private static boolean isEarlierIncarnation(RelayedStore store, long epoch, long serversMs) {
    return store.epoch != epoch && store.epoch >= 0 && serversMs <= store.serverTimeMs;
  }

  private static void resetIfRestarted(RelayedStore store, long epoch) {
    if (store.epoch != epoch) {
      store.epoch = epoch;
      store.next = -1;
      store.recentChanges.clear();
    }
  }

  @Override
  public void nextRound() {
    updatedInRound = updatedSinceRound;
    updatedSinceRound = new HashSet<>();
    long oldest = loop.millis() - REPEAT_MS;
    stores
        .values()
        .forEach(store -> store.recentChanges.removeIf(recent -> recent.receivedAtMs() < oldest));
  }

  @Override
  public List<PartStoreReport> reportsToSend(Kind kind) {
    List<PartStoreReport> news = new ArrayList<>();
    if (kind == Kind.OWN) {
      return news;
    }
    for (String address : updatedInRound) {
      RelayedStore store = stores.get(address);
      if (store != null && (kind == Kind.ALL || isPolledHere(store, loop.millis()))) {
        news.add(createNews(address, store));
      }
    }
    return news;
  }

  private static PartStoreReport createNews(String address, RelayedStore store) {
    int size = store.recentChanges.size();
    List<RecentChange> reported =
        store.recentChanges.subList(Math.max(0, size - MAX_CHANGES), size);
    long from = store.next;
    Map<String, Change> lastByKey = new LinkedHashMap<>();
    for (RecentChange recent : reported) {
      from = Math.min(from, recent.previousNumber());
      lastByKey.put(recent.change().key(), recent.change());
    }
    @Nullable RecentChange oldest = size > MAX_CHANGES ? reported.get(0) : null;
    return new PartStoreReport(
        address,
        store.epoch,
        store.serverTimeMs,
        oldest == null ? from : oldest.previousNumber(),
        store.next,
        List.copyOf(lastByKey.values()));
  }
}
