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
import org.landingtrack.internal.loads.FeedReport;
import org.landingtrack.internal.platform.FeedCache.Position;
import org.landingtrack.internal.platform.HubReports.HubReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the Object API through a hub, a VM of the same data centre that reads the Object API itself
 * and relays what it has read. Without hubs each VM follows each kind itself, and the number of
 * calls grows with the number of VMs times the number of changes.
 *
 * <p>A hub reports ten times a second up to which revision it has read and how old that information
 * may be. While the report is recent enough, a VM asks the hub, and only when there are changes.
 * When the hub is silent, behind or does not answer, the VM asks the Object API directly. So a
 * change is received at most the allowed age later than with direct calls. The revision that is
 * read never falls behind one that this process has read before. Thread-safe.
 */
public final class RelayedObjectApi implements ObjectApi {
  private static final Logger log = LoggerFactory.getLogger("store");

  /** Watches of a hub within the allowed age, so that an answer may be late. */
  private static final int HUB_WATCHES_PER_MAX_AGE = 3;

  /** Delay before a hub is asked again whose report was ahead of its answer. */
  private static final long HUB_RETRY_MS = 50;

  private final TimestampedObjectApi api;
  private final FeedCache cache;
  private final HubReports hubReports;
  private final HubClient hubClient;
  private final BooleanSupplier isHub;
  private final ToLongFunction<String> maxAgeMs;
  private final Ticker ticker;
  private final Map<String, Long> readRevisions = new ConcurrentHashMap<>();
  private final Set<String> relayedPrefixes = ConcurrentHashMap.newKeySet();

  /** Asks hubs. Calls block for a bounded time. Implementations are thread-safe. */
  public interface HubClient {
    /** Returns all objects of a kind; empty if the hub does not answer or does not have them. */
    Optional<Listing> snapshot(String hub, String prefix);

    /**
     * Returns the changes after a revision; empty if the hub does not answer or no longer keeps
     * them.
     */
    Optional<Listing> changesSince(String hub, String prefix, long revision);
  }

  /**
   * Creates a wrapper that has read nothing yet.
   *
   * @param cache what this process has read
   * @param reports the latest reports of hubs
   * @param client asks hubs
   * @param isHub whether this VM is a hub for others, which asks the Object API directly
   * @param maxAgeMs how old a hub's report about a kind may be; 0 for kinds that are not relayed
   */
  public RelayedObjectApi(
      TimestampedObjectApi api,
      FeedCache cache,
      HubReports reports,
      HubClient client,
      BooleanSupplier isHub,
      ToLongFunction<String> maxAgeMs,
      Ticker ticker) {
    this.api = api;
    this.cache = cache;
    this.hubReports = reports;
    this.hubClient = client;
    this.isHub = isHub;
    this.maxAgeMs = maxAgeMs;
    this.ticker = ticker;
    reports.setUnchangedListener(api::recordUnchanged);
  }

  /** Ends waits for reports after this VM became a hub or stopped being one. */
  public void roleChanged() {
    hubReports.wake();
  }

  /** Returns the longest delay that a hub may add to a change of a kind; 0 if read directly. */
  public long maxRelayDelayMs(String prefix) {
    return relayedPrefixes.contains(prefix) ? maxAgeMs.applyAsLong(prefix) : 0;
  }

  /**
   * Returns reports for the VMs that use this one as their hub. Kinds that this VM itself reads
   * through a hub, or whose information is older than allowed, are left out.
   */
  public List<FeedReport> feedReports(List<String> prefixes) {
    List<FeedReport> reports = new ArrayList<>();
    for (String prefix : prefixes) {
      Optional<Position> position = cache.position(prefix);
      if (position.isEmpty() || relayedPrefixes.contains(prefix)) {
        continue;
      }
      long revision = position.get().revision();
      OptionalLong unchangedMs = api.unchangedUntilMs(prefix, revision);
      long ageMs =
          unchangedMs.isEmpty() ? Long.MAX_VALUE : ticker.millis() - unchangedMs.getAsLong();
      if (ageMs <= maxAgeMs.applyAsLong(prefix)) {
        reports.add(new FeedReport(prefix, revision, position.get().changedRevision(), ageMs));
      }
    }
    return reports;
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    Optional<HubReport> report = usableReport(prefix);
    if (report.isPresent()) {
      Optional<Listing> all = hubClient.snapshot(report.get().hub(), prefix);
      if (all.isPresent() && all.get().revision() >= readRevisions.getOrDefault(prefix, 0L)) {
        return read(prefix, all.get(), true);
      }
      hubReports.markUnresponsive(report.get().hub());
    }
    return read(prefix, api.list(callClass, prefix, after, limit), false);
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long deadlineMs = ticker.millis() + waitMs;
    while (true) {
      Optional<HubReport> report = usableReport(prefix);
      long remainingMs = Math.max(1, deadlineMs - ticker.millis());
      if (report.isEmpty()) {
        return watchDirectly(callClass, prefix, afterRevision, remainingMs);
      }
      if (report.get().changedRevision() > afterRevision) {
        Optional<Listing> changes =
            hubClient.changesSince(report.get().hub(), prefix, afterRevision);
        if (changes.isEmpty()) {
          hubReports.markUnresponsive(report.get().hub());
          continue;
        }
        if (changes.get().revision() > afterRevision) {
          return read(prefix, changes.get(), true);
        }
        if (remainingMs <= HUB_RETRY_MS) {
          return watchDirectly(callClass, prefix, afterRevision, remainingMs);
        }
        pause(HUB_RETRY_MS);
      } else if (remainingMs <= 1) {
        return read(prefix, new Listing(afterRevision, List.of()), true);
      } else {
        await(prefix, afterRevision, Math.min(remainingMs, remainingAgeMs(prefix, report.get())));
      }
    }
  }

  /**
   * Watches the Object API directly. A hub uses short watches, so that its reports are recent;
   * other VMs wait for the whole time.
   */
  private Listing watchDirectly(
      CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long hubWaitMs = maxAgeMs.applyAsLong(prefix) / HUB_WATCHES_PER_MAX_AGE;
    long watchMs = isHub.getAsBoolean() && hubWaitMs > 0 ? Math.min(waitMs, hubWaitMs) : waitMs;
    Listing changes = api.watch(callClass, prefix, afterRevision, watchMs);
    if (changes.objects().isEmpty()) {
      cache.markUnchanged(prefix, changes.revision());
    }
    return read(prefix, changes, false);
  }

  private Listing read(String prefix, Listing listing, boolean byHub) {
    readRevisions.merge(prefix, listing.revision(), Math::max);
    boolean changed = byHub ? relayedPrefixes.add(prefix) : relayedPrefixes.remove(prefix);
    if (changed) {
      log.atInfo().addKeyValue("prefix", prefix).addKeyValue("byHub", byHub).log("store read");
    }
    return listing;
  }

  private Optional<HubReport> usableReport(String prefix) {
    long maxMs = maxAgeMs.applyAsLong(prefix);
    return maxMs <= 0 || isHub.getAsBoolean() ? Optional.empty() : hubReports.latest(prefix, maxMs);
  }

  private long remainingAgeMs(String prefix, HubReport report) {
    return Math.max(1, report.earliestMs() + maxAgeMs.applyAsLong(prefix) - ticker.millis());
  }

  private void await(String prefix, long afterRevision, long waitMs) {
    try {
      hubReports.await(prefix, afterRevision, waitMs);
    } catch (InterruptedException e) {
      throwInterrupted();
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throwInterrupted();
    }
  }

  private static void throwInterrupted() {
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
