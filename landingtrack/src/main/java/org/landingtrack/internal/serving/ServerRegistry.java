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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.LongToIntFunction;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.health.SharedHealth.ServiceIncarnations;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.streams.ServiceVersions;

/**
 * Keeps the backend servers that this VM knows from their entries in the platform's store.
 *
 * <p>A leaving server, announced by its entry or by a notice in an answer, gets no new request
 * while other servers can serve. If no other server can, it may get requests for {@code
 * lastResortMs} after the change, and none if the change may be older than that. An entry that
 * disappears while the store has an outage may only have expired: the server stays usable until the
 * store has been back for the expiry grace period. Entries that disappeared before the outage are
 * final. Without that distinction, an interrupted watch let a server that had left get requests for
 * up to 4.5 s, where 2 s are allowed.
 *
 * <p>A server may restart under its id. The later incarnation is another {@link Backend} that takes
 * over no observed state of the earlier one, and late reports about the earlier incarnation are
 * ignored. Applying one entry takes constant time. Not thread-safe; used on the event loop only.
 */
public final class ServerRegistry {
  /**
   * How long a server is remembered after it announced that it leaves. It may keep serving long
   * after its entry disappeared, and an older copy of the store or a delayed list still shows it as
   * ready.
   */
  private static final long LEAVING_MEMORY_MS = 600_000;

  private final EventLoop loop;
  private final DecisionLog log;
  private final long lastResortMs;
  private final StoreOutages outages;
  private final Map<String, Backend> backends = new HashMap<>();
  private final Map<String, Map<String, Backend>> byService = new HashMap<>();
  private final Map<String, Backend> byAddress = new HashMap<>();
  private Consumer<Backend> incarnationEndedListener = ended -> {};
  private Consumer<Backend> unannouncedRemovalListener = gone -> {};
  private LongPredicate backsOffElsewhere = start -> false;
  private LongPredicate ejectedByFleet = start -> false;
  private ToLongFunction<String> coldStartMs = service -> 0;
  private Predicate<String> isConfiguredService = service -> true;
  private boolean isLoaded;
  private long appliedRevision;
  private final ServiceVersions versions;

  /**
   * Creates an empty registry.
   *
   * @param lastResortMs how long a leaving server may still get requests
   * @param expiryGraceMs how long after the store's recovery a missing entry may still come back
   */
  public ServerRegistry(EventLoop loop, DecisionLog log, long lastResortMs, long expiryGraceMs) {
    this.loop = loop;
    this.log = log;
    this.lastResortMs = lastResortMs;
    this.outages = new StoreOutages(loop, expiryGraceMs);
    this.versions = new ServiceVersions(loop);
  }

  /** Sets the listener for incarnations that ended because a later one became known. */
  void onIncarnationEnded(Consumer<Backend> listener) {
    incarnationEndedListener = listener;
  }

  /** Sets the listener for servers whose entry disappeared without an announcement. */
  void onUnannouncedRemoval(Consumer<Backend> listener) {
    unannouncedRemovalListener = listener;
  }

  /** Sets the test for whether the incarnation with a given hash asked other VMs to back off. */
  void backsOffElsewhere(LongPredicate test) {
    backsOffElsewhere = test;
  }

  /**
   * Sets the test for whether the incarnation with a given hash is ejected by the shared health
   * data.
   */
  void ejectedByFleet(LongPredicate test) {
    ejectedByFleet = test;
  }

  /** Returns the services with the hashes of their server incarnations that are not gone. */
  List<ServiceIncarnations> incarnationsByService() {
    List<ServiceIncarnations> services = new ArrayList<>();
    byService.forEach(
        (service, servers) -> {
          List<Long> starts = new ArrayList<>();
          for (Backend backend : servers.values()) {
            if (!backend.isRemoved() && !backend.isReplaced()) {
              starts.add(backend.incarnationHash());
            }
          }
          services.add(new ServiceIncarnations(Hashes.placement(service), starts));
        });
    return services;
  }

  /** Returns the number of known servers of a service. */
  int countOfService(String service) {
    Map<String, Backend> servers = byService.get(service);
    return servers == null ? 0 : servers.size();
  }

  /** Returns true if some server has probably cached a prompt part that this VM sent there. */
  boolean hasCachedPart(String scope, String partKey) {
    for (Backend backend : backends.values()) {
      if (backend.cachedParts().contains(scope, partKey)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the entry of an incarnation by its hash, or null if it is not known. */
  @Nullable ServerEntry entryOfIncarnation(long startHash) {
    for (Backend backend : backends.values()) {
      if (backend.incarnationHash() == startHash) {
        return backend.entry();
      }
    }
    return null;
  }

  /**
   * Sets the test for whether the configuration names a service. Entries of other services name no
   * server to use, so they are no evidence against the server at their address.
   */
  void setConfiguredServices(Predicate<String> test) {
    isConfiguredService = test;
  }

  /** Sets the function that returns how long the servers of a service stay cold after a start. */
  void setColdStartDuration(ToLongFunction<String> ms) {
    coldStartMs = ms;
  }

  /** Marks all servers of a data centre as possibly cold from now on. */
  void markDataCentreCold(String dataCentre) {
    for (Backend backend : backends.values()) {
      if (backend.entry().dataCentre().equals(dataCentre)) {
        applyColdStart(backend);
      }
    }
  }

  private void applyColdStart(Backend backend) {
    long startMs = coldStartMs.applyAsLong(backend.entry().service());
    if (startMs > 0) {
      backend.coldUntil(loop.millis() + startMs);
    }
  }

  /**
   * Counts the reported cold time from now. The report is older, so the server is treated as cold
   * for slightly too long rather than too short.
   */
  private void applyReportedCold(Backend backend) {
    if (backend.entry().coldMs() > 0) {
      backend.coldUntil(loop.millis() + backend.entry().coldMs());
    }
  }

  /** Returns the number of cold servers. */
  public int coldCount() {
    int count = 0;
    for (Backend backend : backends.values()) {
      boolean isCold = !backend.isRemoved() && backend.coldForMs(loop.millis()) > 0;
      count += isCold ? 1 : 0;
    }
    return count;
  }

  /** Returns true once the list of servers was read. */
  public boolean isLoaded() {
    return isLoaded;
  }

  /**
   * Notes that the store answers again after an outage. Call this after {@link #replaceAll} applied
   * the store's current content.
   */
  public void onStoreRecovered() {
    outages.onRecovered();
  }

  /**
   * Notes that the store came back from an older copy. Call this before {@link #replaceAll} applies
   * its current content. Such a copy does not bring a removed server back: without this rule, a
   * server that had left long ago got requests again.
   */
  public void onStoreRolledBack() {
    outages.onRolledBack();
  }

  private boolean isPermanentlyRemoved(String id) {
    Backend backend = backends.get(id);
    return backend != null
        && backend.isRemoved()
        && outages.mayBeStale()
        && !mayHaveExpired(backend);
  }

  /**
   * Applies a full list; servers that are missing from it are removed. The list does not say since
   * when a server has been leaving, so a leaving server whose announcement was not observed gets no
   * last-resort requests.
   */
  public void replaceAll(Collection<ServerEntry> entries, long revision) {
    boolean isInitial = !isLoaded;
    isLoaded = true;
    long listedAtMs = loop.millis();
    outages.listed();
    recordAppliedRevision(revision);
    Set<String> listed = new HashSet<>();
    for (ServerEntry entry : entries) {
      listed.add(entry.id());
      if (isPermanentlyRemoved(entry.id())) {
        continue;
      }
      applyEntry(entry, revision, listedAtMs - lastResortMs, true);
      recordVersion(entry, isInitial);
    }
    for (String id : List.copyOf(backends.keySet())) {
      if (!listed.contains(id)) {
        remove(id, revision);
      }
    }
  }

  /** Applies a new entry, or one that changed just now. */
  public void put(ServerEntry entry, long revision) {
    put(entry, revision, loop.millis());
  }

  /** Applies a new or changed entry; {@code sinceMs} is the earliest time of the change. */
  public void put(ServerEntry entry, long revision, long sinceMs) {
    applyEntry(entry, revision, sinceMs, false);
    recordVersion(entry, false);
  }

  private void recordVersion(ServerEntry entry, boolean isInitial) {
    if (entry.softwareVersion() != null) {
      versions.recordListed(entry.service(), entry.softwareVersion(), isInitial);
    }
  }

  /** Records the software versions of servers that the store lists now, and nothing else. */
  public void recordVersions(Collection<ServerEntry> entries) {
    entries.forEach(entry -> recordVersion(entry, false));
  }

  /** Records that all changes of entries up to a revision of the store have been applied. */
  public void recordAppliedRevision(long revision) {
    appliedRevision = Math.max(appliedRevision, revision);
  }

  /** Returns the revision of the store up to which all changes have been applied. */
  public long appliedRevision() {
    return appliedRevision;
  }

  /** Returns true if this VM knows an entry, or knew it a short time ago. */
  public boolean knows(String id) {
    return backends.containsKey(id);
  }

  /** Returns the software versions of the services. */
  public ServiceVersions versions() {
    return versions;
  }

  /** Records the versions of all servers that are listed; call this about once a second. */
  public void refreshVersions() {
    for (Map<String, Backend> servers : byService.values()) {
      String last = null;
      for (Backend backend : servers.values()) {
        // Most servers of a service have the version of the one before.
        boolean isRecorded = Objects.equals(last, backend.entry().softwareVersion());
        if (isRecorded || backend.isRemoved()) {
          continue;
        }
        recordVersion(backend.entry(), false);
        last = backend.entry().softwareVersion();
      }
    }
  }

  private void applyEntry(ServerEntry entry, long revision, long sinceMs, boolean isListed) {
    Backend backend = backends.get(entry.id());
    if (backend == null) {
      Backend joined = new Backend(entry, sinceMs);
      Backend sameAddress = byAddress.get(entry.address());
      addToIndexes(joined);
      joined.setListedRevision(revision);
      if (!isListed) {
        endEarlierAtAddress(sameAddress, joined, revision);
      }
      applyReportedCold(joined);
      log.serverChanged("joined", entry, revision);
      return;
    }
    ServerEntry before = backend.entry();
    if (before.isLaterIncarnationThan(entry)) {
      return;
    }
    if (entry.isLaterIncarnationThan(before)) {
      Backend next = backend.restarted(entry, sinceMs);
      replace(backend, next);
      applyReportedCold(next);
      log.serverChanged("started again", entry, revision);
      return;
    }
    backend.setListedRevision(revision);
    boolean wasRemoved = backend.isRemoved();
    boolean isBack = !isListed && backend.clearReplaced(revision);
    if (!before.weightVersions().equals(entry.weightVersions())) {
      backend.clearCachedParts();
    }
    backend.update(entry, sinceMs);
    applyReportedCold(backend);
    if (!before.service().equals(entry.service())) {
      removeFromIndexes(before);
      addToIndexes(backend);
    }
    if (wasRemoved || isBack) {
      log.serverChanged("back", entry, revision);
    } else if (!before.equals(entry)) {
      log.serverChanged(entry.leaving() ? "leaving" : "changed", entry, revision);
    }
  }

  /**
   * Ends the earlier server at the address of a new one. An address has one server, so a later
   * entry of a configured service shows that the earlier server ended; after a crash its entry
   * remains for some heartbeats. If its entry is written once more, it has not ended. A list does
   * not say which entry is later, and an older copy of the store may contain entries of servers
   * that are long gone, so neither proves anything.
   */
  private void endEarlierAtAddress(@Nullable Backend earlier, Backend joined, long revision) {
    if (earlier == null || earlier == joined || earlier.isReplaced()) {
      return;
    }
    boolean isEvidence = isConfiguredService.test(joined.entry().service());
    if (!isEvidence || outages.mayBeStale() || earlier.listedRevision() >= revision) {
      return;
    }
    earlier.markReplaced(revision);
    log.ejected(earlier.entry().id(), "a later server has its address");
    incarnationEndedListener.accept(earlier);
  }

  /**
   * Notes an incarnation that a server reported before its entry did. This does not bring back a
   * removed server; only its next entry does.
   */
  public void onIncarnationReported(String id, long startedMs) {
    Backend backend = backends.get(id);
    if (backend == null || backend.isRemoved()) {
      return;
    }
    ServerEntry next = backend.entry().withStartedMs(startedMs);
    if (next.isLaterIncarnationThan(backend.entry())) {
      Backend restarted = backend.restarted(next, loop.millis());
      replace(backend, restarted);
      applyColdStart(restarted);
      log.serverChanged("started again", next, 0);
    }
  }

  private void replace(Backend before, Backend next) {
    removeFromIndexes(before.entry());
    addToIndexes(next);
    incarnationEndedListener.accept(before);
  }

  private void addToIndexes(Backend backend) {
    ServerEntry entry = backend.entry();
    backends.put(entry.id(), backend);
    byService.computeIfAbsent(entry.service(), name -> new HashMap<>()).put(entry.id(), backend);
    byAddress.merge(
        entry.address(),
        backend,
        (known, added) -> isConfiguredService.test(added.entry().service()) ? added : known);
  }

  private void removeFromIndexes(ServerEntry entry) {
    Backend dropped = backends.remove(entry.id());
    if (dropped != null) {
      byAddress.remove(entry.address(), dropped);
    }
    Map<String, Backend> sameService = byService.get(entry.service());
    if (sameService != null) {
      sameService.remove(entry.id());
    }
  }

  /** Applies the removal of an entry just now. */
  public void remove(String id, long revision) {
    remove(id, revision, loop.millis());
  }

  /** Applies the removal of an entry; {@code sinceMs} is the earliest time of the removal. */
  public void remove(String id, long revision, long sinceMs) {
    Backend backend = backends.get(id);
    if (backend == null || backend.isRemoved()) {
      return;
    }
    backend.markRemoved(sinceMs, loop.millis());
    log.serverChanged("gone", backend.entry(), revision);
    if (!backend.isLeaving()) {
      unannouncedRemovalListener.accept(backend);
    }
  }

  /** Forgets servers that were removed more than {@code afterMs} ago; returns their ids. */
  public List<String> evictRemoved(long afterMs) {
    List<String> forgotten = new ArrayList<>();
    for (Backend backend : List.copyOf(backends.values())) {
      long keepMs = backend.hasReportedLeaving() ? Math.max(afterMs, LEAVING_MEMORY_MS) : afterMs;
      if (backend.isRemoved() && backend.leavingForMs(loop.millis()) > keepMs) {
        forgotten.add(backend.entry().id());
        removeFromIndexes(backend.entry());
      }
    }
    return forgotten;
  }

  /** Returns the entries that are not removed. */
  public List<ServerEntry> entries() {
    List<ServerEntry> entries = new ArrayList<>();
    for (Backend backend : backends.values()) {
      if (!backend.isRemoved()) {
        entries.add(backend.entry());
      }
    }
    return entries;
  }

  /**
   * Returns this VM's load on each server, without the servers on which it has none.
   *
   * @param limitedSends requests sent recently to an incarnation that has a limit
   */
  public List<Load> ownLoads(LongToIntFunction limitedSends) {
    List<Load> loads = new ArrayList<>();
    for (Backend backend : backends.values()) {
      int sends = limitedSends.applyAsInt(backend.incarnationHash());
      if (backend.inFlight() > 0 || sends > 0) {
        long movingMs = (long) backend.linkBacklog().busyMs(loop.millis());
        loads.add(
            new Load(
                backend.incarnationHash(),
                backend.pendingTokens(),
                backend.inFlight(),
                movingMs,
                backend.memoryTokensInUse(),
                sends));
      }
    }
    return loads;
  }

  /** Returns the address of a server that is not removed, or null if there is none with the id. */
  public @Nullable String addressOf(String id) {
    Backend backend = backends.get(id);
    return backend == null || backend.isRemoved() ? null : backend.entry().address();
  }

  @Nullable Backend find(String id) {
    return backends.get(id);
  }

  /**
   * Returns the servers of a service that may get a request now: the healthy ones, or the others if
   * there are none.
   *
   * @param eligible further conditions of the request
   * @param isOnlySend true if the request has no attempt left after this one
   */
  List<Backend> usable(String service, Predicate<Backend> eligible, boolean isOnlySend) {
    long now = loop.millis();
    List<Backend> healthy = new ArrayList<>();
    List<Backend> fallback = new ArrayList<>();
    for (Backend backend : byService.getOrDefault(service, Map.of()).values()) {
      if (backend.isReplaced()) {
        continue;
      }
      long leavingFor = backend.leavingForMs(now);
      boolean leaves = leavingFor >= 0 && !mayHaveExpired(backend);
      if ((leaves && leavingFor >= lastResortMs) || !eligible.test(backend)) {
        continue;
      }
      boolean isFallback =
          leaves
              || backend.isEjected(now)
              || isEjectedByFleet(backend)
              || backsOffElsewhere.test(backend.incarnationHash())
              || backend.backoff().isTrialLeftToOthers(now, isOnlySend || backend.inFlight() > 0);
      (isFallback ? fallback : healthy).add(backend);
    }
    return healthy.isEmpty() ? fallback : healthy;
  }

  /** Returns true if a server is ejected by the shared health data of all VMs. */
  boolean isEjectedByFleet(Backend backend) {
    return ejectedByFleet.test(backend.incarnationHash());
  }

  /**
   * Returns the servers of a service that are not leaving and are ejected by the shared health
   * data.
   */
  List<Backend> ejected(String service, Predicate<Backend> eligible) {
    List<Backend> ejected = new ArrayList<>();
    for (Backend backend : byService.getOrDefault(service, Map.of()).values()) {
      boolean stays = !backend.isReplaced() && backend.leavingForMs(loop.millis()) < 0;
      if (stays && isEjectedByFleet(backend) && eligible.test(backend)) {
        ejected.add(backend);
      }
    }
    return ejected;
  }

  private boolean mayHaveExpired(Backend backend) {
    return backend.isRemoved()
        && !backend.isLeaving()
        && outages.mayHaveExpired(backend.removalSeenAtMs());
  }
}
