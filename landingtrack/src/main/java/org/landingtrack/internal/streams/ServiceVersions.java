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
package org.landingtrack.internal.streams;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.GossipExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which software versions the servers of each service have or had recently. A service with
 * more than one is mixed. Used on the event loop only.
 */
public final class ServiceVersions implements GossipExchange.ReportHandler<MixedServiceReport> {
  /** Longest time from the start of a stream to its last continuation. */
  public static final long RETENTION_MS = 30_000;

  /**
   * How long a new version of a service begins no streams while servers of another version can:
   * time for all VMs to learn that the service is mixed.
   */
  static final long SETTLE_MS = 500;

  /** Bound of services in one message, about 1 kB. */
  static final int MAX_REPORTS = 32;

  /** Bound of services that are known from other VMs only. */
  private static final int MAX_SERVICES = 256;

  private static final Logger log = LoggerFactory.getLogger("streams");

  private final Ticker ticker;
  private final Map<String, Service> services = new HashMap<>();
  private Consumer<String> mixedListener = service -> {};
  private HistoryStartListener historyStartListener = isFirstList -> {};
  private long historySinceMs;
  private boolean hasListed;
  private boolean isFirstStart;

  private static final class Service {
    private final Map<String, Sighting> versions = new HashMap<>();
    private long mixedUntilMs = Long.MIN_VALUE;
  }

  /** When this VM first and last saw a server of a version. */
  private record Sighting(long firstMs, long lastMs) {}

  /** Creates a tracker without history. */
  public ServiceVersions(Ticker ticker) {
    this.ticker = ticker;
    this.historySinceMs = ticker.millis();
  }

  /** Sets the listener for services that become mixed. */
  void onMixed(Consumer<String> listener) {
    mixedListener = listener;
  }

  /** Receives starts of the history. */
  @FunctionalInterface
  interface HistoryStartListener {
    /**
     * Called when the history starts.
     *
     * @param isFirstList true at the first list, false after a gap
     */
    void onHistoryStart(boolean isFirstList);
  }

  /** Sets the listener that is called when the history starts: at the first list and after gaps. */
  void onHistoryStart(HistoryStartListener listener) {
    historyStartListener = listener;
  }

  /**
   * Records that a server of a version is listed.
   *
   * @param isInitial true if it is from the first list that this VM reads, which does not tell
   *     which version is new
   */
  public void recordListed(String serviceName, String version, boolean isInitial) {
    long now = ticker.millis();
    startHistory(now);
    record(serviceName, version, isInitial, now);
  }

  /** Starts the history at the first list: this VM does not know which versions served before. */
  private void startHistory(long now) {
    if (hasListed) {
      return;
    }
    hasListed = true;
    if (!isFirstStart) {
      historySinceMs = now;
    }
    historyStartListener.onHistoryStart(true);
  }

  /**
   * Starts the history anew, since versions may have come and gone that this VM has not listed.
   * Call this when a list does not continue the changes that were read before.
   */
  public void restartHistory() {
    if (!hasListed) {
      return;
    }
    log.atInfo()
        .addKeyValue("historyMs", historyMs())
        .log("history of software versions restarted");
    historySinceMs = ticker.millis();
    historyStartListener.onHistoryStart(false);
  }

  private void record(String serviceName, String version, boolean isInitial, long seenAtMs) {
    long now = ticker.millis();
    Service service = service(serviceName);
    service.versions.values().removeIf(each -> now - each.lastMs > RETENTION_MS);
    Sighting before = service.versions.get(version);
    boolean isKnown = before != null || service.versions.isEmpty() || isInitial;
    long firstMs = before != null ? before.firstMs : isKnown ? Long.MIN_VALUE / 2 : now;
    long lastMs = before == null ? seenAtMs : Math.max(before.lastMs, seenAtMs);
    service.versions.put(version, new Sighting(firstMs, lastMs));
    if (service.versions.size() > 1) {
      extendMixed(serviceName, service, now + RETENTION_MS);
    }
  }

  /**
   * Treats a service as mixed from now on, since its streams may have begun at another service of
   * their route, or at a version that is not known.
   */
  public void markMixed(String service) {
    extendMixed(service, service(service), ticker.millis() + RETENTION_MS);
  }

  private Service service(String name) {
    return services.computeIfAbsent(name, key -> new Service());
  }

  private void extendMixed(String name, Service service, long untilMs) {
    boolean wasMixed = isMixed(service);
    service.mixedUntilMs = Math.max(service.mixedUntilMs, untilMs);
    if (!wasMixed && isMixed(service)) {
      mixedListener.accept(name);
    }
  }

  private boolean isMixed(Service service) {
    return ticker.millis() < service.mixedUntilMs;
  }

  /** Returns true if a stream of the service may have begun at one of several versions. */
  public boolean isMixed(String serviceName) {
    Service service = services.get(serviceName);
    return service != null && isMixed(service);
  }

  /** Returns the number of mixed services. */
  public int mixedCount() {
    int count = 0;
    for (Service service : services.values()) {
      count += isMixed(service) ? 1 : 0;
    }
    return count;
  }

  /** Returns true if a version may begin streams although other versions could. */
  public boolean isSettled(String serviceName, @Nullable String version) {
    Service service = services.get(serviceName);
    Sighting sighting = service == null ? null : service.versions.get(version);
    return sighting != null && ticker.millis() - sighting.firstMs >= SETTLE_MS;
  }

  /**
   * Returns the version at which all streams of a service began that may still go on, or null if
   * there may be several or this VM's history is too short. Valid for streams that began before the
   * last read of the servers.
   */
  @Nullable String onlyVersion(String serviceName) {
    Service service = services.get(serviceName);
    if (service == null || isMixed(service) || service.versions.size() != 1 || !hasHistory()) {
      return null;
    }
    return service.versions.keySet().iterator().next();
  }

  /** Returns true if this VM knows which versions served while any current stream was begun. */
  boolean hasHistory() {
    return historyMs() >= RETENTION_MS;
  }

  /** Returns the length of this VM's history in milliseconds; 0 before its first list. */
  long historyMs() {
    return hasListed || isFirstStart ? ticker.millis() - historySinceMs : 0;
  }

  /** Returns true once this VM has listed a server. */
  boolean hasListed() {
    return hasListed;
  }

  /** Returns the versions that served recently, for other VMs. */
  List<VersionSighting> sightings() {
    List<VersionSighting> recent = new ArrayList<>();
    services.forEach(
        (name, service) ->
            service.versions.forEach(
                (version, sighting) -> {
                  long agoMs = ticker.millis() - sighting.lastMs;
                  if (agoMs <= RETENTION_MS) {
                    recent.add(new VersionSighting(name, version, agoMs));
                  }
                }));
    return recent;
  }

  /**
   * Extends the history by that of another VM, after its reports were applied. Before this VM's
   * first list that would leave a gap, so it is ignored.
   *
   * @param sightings the versions that the other VM knows; it may read lists later than this one
   */
  void extendHistory(long otherHistoryMs, List<VersionSighting> sightings) {
    if (!hasListed) {
      return;
    }
    for (VersionSighting each : sightings) {
      record(each.service(), each.softwareVersion(), false, ticker.millis() - each.agoMs());
    }
    historySinceMs = Math.min(historySinceMs, ticker.millis() - otherHistoryMs);
  }

  /** Notes that the fleet starts for the first time, so that no earlier stream exists. */
  public void assumeNoEarlierStreams() {
    isFirstStart = true;
    historySinceMs = ticker.millis() - RETENTION_MS;
  }

  @Override
  public List<MixedServiceReport> reportsToSend() {
    List<MixedServiceReport> reports = new ArrayList<>();
    services.forEach(
        (name, service) -> {
          if (isMixed(service) && reports.size() < MAX_REPORTS) {
            reports.add(new MixedServiceReport(name, service.mixedUntilMs - ticker.millis()));
          }
        });
    return reports;
  }

  @Override
  public void receiveReports(List<MixedServiceReport> reports) {
    for (MixedServiceReport report : reports) {
      if (services.containsKey(report.service()) || services.size() < MAX_SERVICES) {
        long remainingMs = Math.min(report.remainingMs(), RETENTION_MS);
        extendMixed(report.service(), service(report.service()), ticker.millis() + remainingMs);
      }
    }
  }
}
