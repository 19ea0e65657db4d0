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
package org.landingtrack.internal.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.ToLongFunction;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.FeedNews;
import org.landingtrack.internal.platform.FeedCache.Position;
import org.landingtrack.internal.platform.FeedNewsBoard.Heard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An Object API that is read by way of a hub: what one VM of a data centre has read, the others
 * need not ask for. Without it each VM follows each kind itself, and the calls grow with the VMs
 * times the changes.
 *
 * <p>A hub says ten times a second how far it has read and how old that can be. While that is young
 * enough, a VM asks the hub, and only for changes; when the hub is silent, behind, or does not
 * answer, the VM asks the Object API as if there were no hub. So a change is heard of at most the
 * age that is allowed later than by a call of its own. What is read never goes back behind what
 * this process has read before. Thread-safe.
 */
public final class RelayedObjectApi implements ObjectApi {
  private static final Logger log = LoggerFactory.getLogger("store");

  /** A hub asks anew so many times in the age that is allowed, so that an answer may be late. */
  private static final int HUB_WATCHES = 3;

  /** Between two questions to a hub whose news were ahead of its answer. */
  private static final long AGAIN_MS = 50;

  private final DatedObjectApi api;
  private final FeedCache cache;
  private final FeedNewsBoard board;
  private final HubClient hubs;
  private final BooleanSupplier isHub;
  private final ToLongFunction<String> maxAgeMs;
  private final Ticker ticker;
  private final Map<String, Long> readTo = new ConcurrentHashMap<>();
  private final Set<String> relayed = ConcurrentHashMap.newKeySet();

  /** Asks hubs. Blocks for a bounded time; thread-safe. */
  public interface HubClient {
    /** Returns all objects of a kind, or empty if the hub does not say. */
    Optional<Listing> all(String hub, String prefix);

    /** Returns the changes after a revision, or empty if the hub does not say. */
    Optional<Listing> since(String hub, String prefix, long revision);
  }

  /**
   * Creates a view.
   *
   * @param cache what this process has read
   * @param board what hubs say
   * @param isHub whether other VMs rely on this one, which then asks the Object API itself
   * @param maxAgeMs how old a hub's word of a kind may be; 0 for kinds that are not relayed
   */
  public RelayedObjectApi(
      DatedObjectApi api,
      FeedCache cache,
      FeedNewsBoard board,
      HubClient hubs,
      BooleanSupplier isHub,
      ToLongFunction<String> maxAgeMs,
      Ticker ticker) {
    this.api = api;
    this.cache = cache;
    this.board = board;
    this.hubs = hubs;
    this.isHub = isHub;
    this.maxAgeMs = maxAgeMs;
    this.ticker = ticker;
    board.onProof(api::note);
  }

  /** Notes that other VMs rely on this one from now on, or no more. */
  public void roleChanged() {
    board.wake();
  }

  /** Returns by how much a change of a kind may have been heard of later than it was told. */
  public long lateMs(String prefix) {
    return relayed.contains(prefix) ? maxAgeMs.applyAsLong(prefix) : 0;
  }

  /** Returns what this VM can say to those that rely on it: only what it was told itself. */
  public List<FeedNews> news(List<String> prefixes) {
    List<FeedNews> news = new ArrayList<>();
    for (String prefix : prefixes) {
      Optional<Position> position = cache.position(prefix);
      if (position.isEmpty() || relayed.contains(prefix)) {
        continue;
      }
      long revision = position.get().revision();
      OptionalLong provenMs = api.provenMs(prefix, revision);
      long ageMs = provenMs.isEmpty() ? Long.MAX_VALUE : ticker.millis() - provenMs.getAsLong();
      if (ageMs <= maxAgeMs.applyAsLong(prefix)) {
        news.add(new FeedNews(prefix, revision, position.get().changedRevision(), ageMs));
      }
    }
    return news;
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    Optional<Heard> heard = usable(prefix);
    if (heard.isPresent()) {
      Optional<Listing> all = hubs.all(heard.get().hub(), prefix);
      if (all.isPresent() && all.get().revision() >= readTo.getOrDefault(prefix, 0L)) {
        return read(prefix, all.get(), true);
      }
      board.distrust(heard.get().hub());
    }
    return read(prefix, api.list(callClass, prefix, after, limit), false);
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long endMs = ticker.millis() + waitMs;
    while (true) {
      Optional<Heard> heard = usable(prefix);
      long leftMs = Math.max(1, endMs - ticker.millis());
      if (heard.isEmpty()) {
        return watchItself(callClass, prefix, afterRevision, leftMs);
      }
      if (heard.get().changedRevision() > afterRevision) {
        Optional<Listing> changes = hubs.since(heard.get().hub(), prefix, afterRevision);
        if (changes.isEmpty()) {
          board.distrust(heard.get().hub());
          continue;
        }
        if (changes.get().revision() > afterRevision) {
          return read(prefix, changes.get(), true);
        }
        if (leftMs <= AGAIN_MS) {
          return watchItself(callClass, prefix, afterRevision, leftMs);
        }
        pause(AGAIN_MS);
      } else if (leftMs <= 1) {
        return read(prefix, new Listing(afterRevision, List.of()), true);
      } else {
        await(prefix, afterRevision, Math.min(leftMs, untilOld(prefix, heard.get())));
      }
    }
  }

  /** A hub asks often, so that what it says is young; another VM as seldom as it may. */
  private Listing watchItself(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long hubMs = maxAgeMs.applyAsLong(prefix) / HUB_WATCHES;
    long shortMs = isHub.getAsBoolean() && hubMs > 0 ? Math.min(waitMs, hubMs) : waitMs;
    Listing changes = api.watch(callClass, prefix, afterRevision, shortMs);
    if (changes.objects().isEmpty()) {
      cache.unchangedTo(prefix, changes.revision());
    }
    return read(prefix, changes, false);
  }

  private Listing read(String prefix, Listing listing, boolean byHub) {
    readTo.merge(prefix, listing.revision(), Math::max);
    boolean changed = byHub ? relayed.add(prefix) : relayed.remove(prefix);
    if (changed) {
      log.atInfo().addKeyValue("prefix", prefix).addKeyValue("byHub", byHub).log("store read");
    }
    return listing;
  }

  private Optional<Heard> usable(String prefix) {
    long maxMs = maxAgeMs.applyAsLong(prefix);
    return maxMs <= 0 || isHub.getAsBoolean() ? Optional.empty() : board.latest(prefix, maxMs);
  }

  private long untilOld(String prefix, Heard heard) {
    return Math.max(1, heard.atMs() + maxAgeMs.applyAsLong(prefix) - ticker.millis());
  }

  private void await(String prefix, long afterRevision, long waitMs) {
    try {
      board.await(prefix, afterRevision, waitMs);
    } catch (InterruptedException e) {
      stop();
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      stop();
    }
  }

  private static void stop() {
    Thread.currentThread().interrupt();
    throw new PlatformException(PlatformException.Reason.UNAVAILABLE, "this process ends");
  }

  @Override
  public Optional<StoredObject> read(CallClass callClass, String key) {
    return api.read(callClass, key);
  }

  @Override
  public StoredObject write(CallClass callClass, String key, String value, long expectedVersion) {
    return api.write(callClass, key, value, expectedVersion);
  }
}
