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
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.dispatch.RetryBudget;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.retry.FleetRetryBudget;
import org.landingtrack.internal.streams.StreamOrigins;

/**
 * The state from which this VM serves requests: the configuration in force, the backend servers,
 * the published weight versions, and what other VMs report. Not thread-safe: used on the event loop
 * only.
 */
public final class ServingState {
  /**
   * Versions remembered per model. Older ones were published too long ago to affect any time limit.
   */
  private static final int MAX_VERSIONS_PER_MODEL = 16;

  private static final int MIN_CONCURRENT_LOADS = 3;
  private static final double CONCURRENT_LOADS_SHARE = 0.12;

  private final EventLoop loop;
  private final ServerRegistry servers;
  private final PartStores partStores;
  private final PeerLoads peerLoads;
  private final Quarantine quarantine;
  private final Evacuations evacuations;
  private final ServerLimits serverLimits;
  private final SharedBackoffs backoffs;
  private final StreamOrigins streams;
  private final DecisionLog log;
  private final Map<String, List<PublishedWeights>> weights = new HashMap<>();
  private final Map<String, ServiceRetryLimiter> retries = new HashMap<>();
  private @Nullable FleetRetryBudget fleetRetries;
  private final double maxSavedRetries;
  private final Map<String, Double> rolloutPositions = new HashMap<>();
  private final List<FleetTallies> tallies = new ArrayList<>();
  private boolean weightsListed;
  private @Nullable ServingConfig config;

  /** How this VM learned of an entry in the platform's store. */
  public enum UpdateSource {
    /** From a list, which also contains entries that changed long ago. */
    LIST,
    /** From a watch, which reports the changes since its previous response. */
    WATCH
  }

  /**
   * A published version of a model's weights.
   *
   * @param sinceMs the earliest time at which it may have been published, on the event loop's
   *     clock; time limits for older versions count from there
   */
  public record PublishedWeights(long version, long sinceMs) {}

  /**
   * Creates a state without configuration, servers or weight versions.
   *
   * @param peerLoads the load that other VMs report for the servers
   * @param maxSavedRetries the most unused retries that the retry budget of a service accumulates
   *     on this VM
   */
  public ServingState(
      EventLoop loop,
      ServerRegistry servers,
      PeerLoads peerLoads,
      DecisionLog log,
      double maxSavedRetries) {
    this.peerLoads = peerLoads;
    this.loop = loop;
    this.servers = servers;
    this.partStores = new PartStores(loop, peerLoads);
    this.quarantine = new Quarantine(loop);
    this.log = log;
    this.maxSavedRetries = maxSavedRetries;
    this.serverLimits = new ServerLimits(loop);
    this.backoffs = new SharedBackoffs(loop, Hashes.placement(peerLoads.address()));
    this.streams = new StreamOrigins(loop, servers.versions(), peerLoads);
    servers.backsOffElsewhere(backoffs::isRequestedElsewhere);
    this.evacuations = new Evacuations(loop, log);
    evacuations.onEnded(servers::markDataCentreCold);
    servers.setColdStartDuration(this::coldStartMs);
    servers.setConfiguredServices(this::isConfigured);
  }

  private boolean isConfigured(String service) {
    ServingConfig current = config;
    return current != null && current.service(service) != null;
  }

  private long coldStartMs(String service) {
    ServingConfig current = config;
    ServiceInfo info = current == null ? null : current.service(service);
    return info == null ? 0 : info.coldStartMs();
  }

  /** Returns the rate limits that servers set for themselves. */
  public ServerLimits serverLimits() {
    return serverLimits;
  }

  /** Returns the backoffs that servers asked any VM for. */
  public SharedBackoffs backoffs() {
    return backoffs;
  }

  /** Returns the evacuated data centres, whose servers get no requests. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /**
   * Applies a configuration unless the same or a newer version is in force.
   *
   * @return the part stores that are new or changed
   */
  public List<PartStore.StoreInfo> configure(ServingConfig next, long revision) {
    ServingConfig current = config;
    if (current != null && next.version() <= current.version()) {
      return List.of();
    }
    if (current != null) {
      markMovedStreams(current, next);
    }
    config = next;
    log.configApplied(next.version(), revision);
    return partStores.configure(next.partStores());
  }

  /**
   * Streams of a route whose services change may have begun at any of them, so their origins are
   * announced like those of several software versions.
   */
  private void markMovedStreams(ServingConfig before, ServingConfig next) {
    List<Route> routes = new ArrayList<>(before.routes());
    routes.addAll(next.routes());
    for (Route route : routes) {
      Route previous = before.route(route.host(), route.pathPrefix()).orElse(null);
      Route current = next.route(route.host(), route.pathPrefix()).orElse(null);
      if (!route.streaming() || previous == null || current == null) {
        continue;
      }
      if (!previous.targets().equals(current.targets())) {
        previous.targets().forEach(target -> servers.versions().markMixed(target.service()));
        current.targets().forEach(target -> servers.versions().markMixed(target.service()));
      }
    }
  }

  /** Returns the origins of the streams that callers may resume. */
  public StreamOrigins streams() {
    return streams;
  }

  /**
   * Records a published version of a model's weights unless the same or a newer one is known.
   *
   * @param sinceMs the earliest time at which it may have been published, on the event loop's clock
   * @param source how this VM learned of it
   */
  public void addPublishedWeights(
      String model, long version, long revision, long sinceMs, UpdateSource source) {
    List<PublishedWeights> published = weights.computeIfAbsent(model, name -> new ArrayList<>());
    if (!published.isEmpty() && published.get(published.size() - 1).version() >= version) {
      return;
    }
    published.add(new PublishedWeights(version, sinceMs));
    if (published.size() > MAX_VERSIONS_PER_MODEL) {
      published.remove(0);
    }
    log.weightsPublished(model, version, revision, source, loop.millis() - sinceMs);
  }

  /** Records that all published weight versions have been read once. */
  public void weightsListed() {
    weightsListed = true;
  }

  /**
   * Returns true once requests can be served. Without the published weight versions, a VM that has
   * just started would let any engine run requests on the weights it has loaded, however long ago
   * these were replaced. Without the evacuations it would send requests to evacuated data centres.
   */
  public boolean ready() {
    return config != null && servers.isLoaded() && weightsListed && evacuations.isKnown();
  }

  /** Returns the configuration in force, or null if none is known. */
  public @Nullable ServingConfig config() {
    return config;
  }

  /** Returns the part stores, which hold KV cache entries of prompt parts. */
  public PartStores partStores() {
    return partStores;
  }

  /**
   * Returns this VM's load on servers and its fetches from part stores, for reports to other VMs.
   */
  public List<Load> ownLoads() {
    List<Load> loads = servers.ownLoads(serverLimits::recentSends);
    loads.addAll(partStores.ownLoads());
    return loads;
  }

  /** Returns the quarantine of requests during which servers crashed. */
  public Quarantine quarantine() {
    return quarantine;
  }

  /** Returns the load reports of other VMs. */
  PeerLoads peerLoads() {
    return peerLoads;
  }

  /**
   * Starts to exchange counts of a topic with the other VMs.
   *
   * @param own supplies this VM's counts; called in each round of load reports
   * @return the counts of all VMs
   */
  FleetTallies registerTallies(TallyTopic topic, Supplier<List<Tally>> own) {
    FleetTallies fleetTallies = new FleetTallies(peerLoads, loop, topic, own);
    tallies.add(fleetTallies);
    return fleetTallies;
  }

  /** Returns the counts that are exchanged with the other VMs. */
  public List<FleetTallies> tallies() {
    return List.copyOf(tallies);
  }

  /** Returns the backend servers. */
  public ServerRegistry servers() {
    return servers;
  }

  /** Returns the newest published version of a model's weights. */
  public OptionalLong newestWeights(String model) {
    List<PublishedWeights> published = weights.getOrDefault(model, List.of());
    return published.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(published.get(published.size() - 1).version());
  }

  /** Returns the milliseconds since the newest version of a model was published; 0 if none was. */
  long newestWeightsAgeMs(String model) {
    List<PublishedWeights> published = weights.getOrDefault(model, List.of());
    return published.isEmpty() ? 0 : loop.millis() - published.get(published.size() - 1).sinceMs();
  }

  /**
   * Returns the oldest version of a model's weights that may still be used: the newest one that was
   * published at least {@code graceMs} ago. Empty if there is none; then any version may be used.
   */
  OptionalLong oldestUsableWeights(String model, long graceMs) {
    OptionalLong oldest = OptionalLong.empty();
    for (PublishedWeights candidate : weights.getOrDefault(model, List.of())) {
      if (loop.millis() - candidate.sinceMs() >= graceMs) {
        oldest = OptionalLong.of(candidate.version());
      }
    }
    return oldest;
  }

  /**
   * Returns the remaining milliseconds of a grace period that starts when a newer version replaces
   * this one; {@link Long#MAX_VALUE} for the newest version.
   */
  long replacedGraceLeftMs(String model, long version, long graceMs) {
    for (PublishedWeights candidate : weights.getOrDefault(model, List.of())) {
      if (candidate.version() > version) {
        return Math.max(0, candidate.sinceMs() + graceMs - loop.millis());
      }
    }
    return Long.MAX_VALUE;
  }

  /**
   * Returns the servers with weights of a model older than the newest published version, in the
   * order in which they load it. The oldest weights come first, since their grace period ends
   * first. Every VM computes the same order, so that requests go to other servers before a load
   * begins.
   */
  public List<ServerEntry> rolloutOrder(String model) {
    OptionalLong newest = newestWeights(model);
    List<ServerEntry> outdated = new ArrayList<>();
    if (newest.isEmpty()) {
      return outdated;
    }
    for (ServerEntry entry : servers.entries()) {
      Long loaded = entry.weightVersions().get(model);
      if (!entry.leaving() && loaded != null && loaded < newest.getAsLong()) {
        outdated.add(entry);
      }
    }
    long modelHash = Hashes.placement(model);
    outdated.sort(
        Comparator.comparingLong((ServerEntry entry) -> entry.weightVersions().get(model))
            .thenComparingLong(entry -> Hashes.combine(modelHash, Hashes.placement(entry.id()))));
    return outdated;
  }

  /** Recomputes which servers load next. To be called after servers or weight versions changed. */
  public void refreshRollout() {
    rolloutPositions.clear();
    for (String model : weights.keySet()) {
      double step = 1.0 / maxConcurrentLoads(model);
      double position = 0;
      for (ServerEntry entry : rolloutOrder(model)) {
        rolloutPositions.put(entry.id(), position);
        position += step;
      }
    }
  }

  /**
   * Returns how many of a model's engines load weights at the same time. With more of them the
   * rollout ends sooner, but each engine starts with an empty prefix cache: with ten of 42 engines
   * at the same time, the cold caches cost more than the old weights.
   */
  public int maxConcurrentLoads(String model) {
    int engines = 0;
    for (ServerEntry entry : servers.entries()) {
      engines += entry.weightVersions().containsKey(model) ? 1 : 0;
    }
    return Math.max(MIN_CONCURRENT_LOADS, (int) (engines * CONCURRENT_LOADS_SHARE));
  }

  /**
   * Returns the server's position in the rollout, in units of {@link #maxConcurrentLoads}: a server
   * below 1 loads now. Infinite for a server that has nothing to load.
   */
  double rolloutPosition(String serverId) {
    return rolloutPositions.getOrDefault(serverId, Double.POSITIVE_INFINITY);
  }

  /** Returns the models with published weight versions. */
  public Set<String> models() {
    return weights.keySet();
  }

  /** Replaces this VM's own retry budgets by those that all VMs share. */
  void useFleetRetries(FleetRetryBudget shared) {
    fleetRetries = shared;
    retries.clear();
  }

  /** Returns the retry budget of a service. */
  ServiceRetryLimiter retries(String service) {
    return retries.computeIfAbsent(
        service,
        name -> {
          FleetRetryBudget shared = fleetRetries;
          return shared == null
              ? ServiceRetryLimiter.local(new RetryBudget(maxSavedRetries))
              : ServiceRetryLimiter.shared(shared, name);
        });
  }
}
