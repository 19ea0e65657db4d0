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
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.health.ExpectedWork;
import org.landingtrack.internal.serving.BackendTransport.BackendCall;
import org.landingtrack.internal.serving.DecisionLog.RoutingDecision;
import org.landingtrack.internal.serving.PartFetchPlanner.FetchPlan;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.serving.ServerSelector.Selection;
import org.landingtrack.internal.streams.ServiceVersions;

/**
 * Plans the attempts of one request: the backend server, the weight version that it must have, the
 * scope of its KV cache entries, and the prompt parts to transfer. Runs on the event loop.
 */
final class AttemptPlanner {
  /**
   * Time in milliseconds within which an engine with replaced weights must start a request that was
   * sent at the last allowed moment. Half a second of the overall bound remains after it. Without
   * this limit, requests waited up to 2.3 s in the queues of slow engines.
   */
  private static final long START_ALLOWANCE_MS = 700;

  private final CallerRequest request;
  private final Route route;
  private final @Nullable Team team;
  private final String service;
  private final ServingState state;
  private final ServingOptions options;
  private final EventLoop loop;
  private final Eligibility eligibility;
  private final ColdServers cold;
  private final LimitedServers limited;
  private final BrittleServers brittle;
  private final BackendHealth health;
  private final AllowedRegions homes;
  private boolean continuesStream;
  private @Nullable String softwareVersion;

  /** The servers that the last plan skipped, by reason. */
  private final Map<IneligibleReason, List<Backend>> skippedServers =
      new EnumMap<>(IneligibleReason.class);

  /**
   * The plan of one attempt.
   *
   * @param choice the selected server and its estimates
   * @param candidates number of servers that could have been selected
   * @param priority the priority sent to the server; negative to send none
   * @param weights the weight version that the server must have; 0 if any version will do
   * @param scope the scope of the KV cache entries
   * @param sources the stores that hold the parts of the prompt, or null if none were looked up
   * @param work the work that the request causes at the server
   * @param probe true if the attempt probes an ejected server
   */
  record AttemptPlan(
      Selection choice,
      ServiceInfo info,
      int candidates,
      int priority,
      long weights,
      String scope,
      @Nullable PartFetchPlanner sources,
      ExpectedWork work,
      boolean probe) {

    Backend backend() {
      return choice.backend();
    }

    /** Returns the number of prompt tokens that the server probably has cached or fetches. */
    int cachedOrFetchedTokens() {
      return choice.cachedTokens() + choice.fetchedTokens();
    }

    /** Returns the KV cache capacity of an engine in tokens; 0 if the server is not an engine. */
    int cacheTokens() {
      return info.engine() == null ? 0 : info.engine().kvCacheTokens();
    }
  }

  AttemptPlanner(
      Serving serving, CallerRequest request, Route route, @Nullable Team team, String service) {
    this.request = request;
    this.route = route;
    this.team = team;
    this.service = service;
    this.state = serving.state();
    this.options = serving.options();
    this.loop = serving.loop();
    this.eligibility = serving.eligibility();
    this.cold = serving.cold();
    this.limited = serving.limited();
    this.brittle = serving.brittle();
    this.health = serving.health();
    this.homes =
        team == null
            ? route.allowedRegions()
            : route.allowedRegions().intersect(team.allowedRegions());
  }

  /**
   * Restricts all further attempts to servers of the software version that began the stream; null
   * if it is not known, so that no server is eligible.
   */
  void continueStreamAt(@Nullable String version) {
    continuesStream = true;
    softwareVersion = version;
  }

  /** Returns true if the request continues a stream. */
  boolean continuesStream() {
    return continuesStream;
  }

  /** Returns the software version that began the stream to continue, or null if not known. */
  @Nullable String softwareVersion() {
    return softwareVersion;
  }

  /**
   * Returns true if the request continues a stream, and no server that may still get requests has
   * the software version that began it.
   */
  boolean lacksServerForStream() {
    return continuesStream
        && state
            .servers()
            .usable(
                service,
                backend ->
                    softwareVersion != null
                        && softwareVersion.equals(backend.softwareVersion(loop.millis())),
                false)
            .isEmpty();
  }

  /** Plans the next attempt; returns null if no server is eligible. */
  @Nullable AttemptPlan plan(AttemptHistory history) {
    ServingConfig config = state.config();
    ServiceInfo info = config == null ? null : config.service(service);
    if (info == null) {
      return null;
    }
    skippedServers.clear();
    Eligibility.Conditions terms =
        new Eligibility.Conditions(
            history.triedServerIds(), homes, info, continuesStream, softwareVersion);
    List<Backend> usable =
        state
            .servers()
            .usable(
                service, backend -> isEligible(backend, terms), !history.hasFurtherAttempt(route));
    List<Backend> settled = withSettledSoftware(usable);
    List<Backend> recent = withRecentWeights(settled, oldestWeights());
    boolean tryNewest = recent.isEmpty() && !settled.isEmpty();
    Backend probed = probeTarget(history, terms);
    Map<Long, PartFetchPlanner> sources = new HashMap<>();
    Selection choice =
        ServerSelector.select(
            probed != null ? List.of(probed) : tryNewest ? settled : recent,
            query(info, weights -> sources(sources, weights, info)));
    if (choice == null) {
      return null;
    }
    long weights = requiredWeights(choice.backend(), tryNewest);
    return new AttemptPlan(
        choice,
        info,
        usable.size(),
        priority(info),
        weights,
        scope(weights),
        sources.get(weights),
        health.work(choice, route, info.engine() != null),
        probed != null);
  }

  /**
   * Returns the servers at which a stream may begin: not those of a software version that has just
   * appeared, unless there are no others. Until all VMs know of it, one of them might assume that
   * the stream began at the only version that it knows.
   */
  private List<Backend> withSettledSoftware(List<Backend> servers) {
    if (route.retryMode() != RetryMode.RESUME || continuesStream) {
      return servers;
    }
    ServiceVersions versions = state.servers().versions();
    List<Backend> settled = new ArrayList<>();
    for (Backend backend : servers) {
      if (versions.isSettled(service, backend.softwareVersion(loop.millis()))) {
        settled.add(backend);
      }
    }
    return settled.isEmpty() ? servers : settled;
  }

  /** Returns the ejected server that the request probes, or null if it probes none. */
  private @Nullable Backend probeTarget(AttemptHistory history, Eligibility.Conditions terms) {
    if (!health.mayCarryProbe(request, route, service, history)) {
      return null;
    }
    List<Backend> ejected =
        state
            .servers()
            .ejected(service, backend -> eligibility.ineligibleReason(backend, terms) == null);
    for (Backend backend : withRecentWeights(ejected, oldestWeights())) {
      if (health.mayProbe(backend)) {
        return backend;
      }
    }
    return null;
  }

  private boolean isEligible(Backend backend, Eligibility.Conditions terms) {
    IneligibleReason bar = eligibility.ineligibleReason(backend, terms);
    if (bar != null) {
      skippedServers.computeIfAbsent(bar, name -> new ArrayList<>()).add(backend);
    }
    return bar == null;
  }

  /**
   * Returns why the last plan found no server, with the number of skipped servers for each reason.
   */
  String unavailableReason() {
    StringBuilder why = new StringBuilder("no usable server of " + service);
    skippedServers.forEach(
        (bar, servers) -> why.append(", ").append(servers.size()).append(' ').append(bar.text()));
    return why.toString();
  }

  /**
   * Returns the expected wait in milliseconds until a server that was skipped temporarily (cold,
   * limited or full) becomes eligible for the request; {@link Long#MAX_VALUE} if there is none.
   *
   * @param queuedBefore number of requests queued at this VM ahead of this one
   */
  long waitMs(int queuedBefore) {
    ServingConfig config = state.config();
    ServiceInfo info = config == null ? null : config.service(service);
    long waitMs = Math.min(limitedWaitMs(queuedBefore), slotWaitMs(queuedBefore));
    List<Backend> skippedCold = skippedServers.get(IneligibleReason.COLD);
    if (info == null || skippedCold == null) {
      return waitMs;
    }
    return Math.min(waitMs, cold.waitMs(skippedCold, info, queuedBefore));
  }

  /**
   * Returns the expected wait for a server with a rate limit; {@link Long#MAX_VALUE} if the request
   * would become late. Late requests queue behind others, so it might never be served.
   */
  private long limitedWaitMs(int queuedBefore) {
    long waitMs =
        limited.waitMs(
            skippedServers.getOrDefault(IneligibleReason.LIMITED, List.of()), queuedBefore);
    long ageMs = loop.millis() - request.receivedAtMs();
    return EngineAdmission.isLate(ageMs + waitMs, route.targetLatencyMs())
        ? Long.MAX_VALUE
        : waitMs;
  }

  /** Returns the expected wait for a slot of a brittle server, or {@link Long#MAX_VALUE}. */
  private long slotWaitMs(int queuedBefore) {
    List<Backend> full = skippedServers.getOrDefault(IneligibleReason.FULL, List.of());
    if (full.isEmpty()) {
      return Long.MAX_VALUE;
    }
    long waitMs = brittle.waitMs(full, queuedBefore);
    long ageMs = loop.millis() - request.receivedAtMs();
    return EngineAdmission.isLate(ageMs + waitMs, route.targetLatencyMs())
        ? Long.MAX_VALUE
        : waitMs;
  }

  /** Returns true if the last plan skipped a server only temporarily. */
  boolean canWaitForServer() {
    return skippedServers.containsKey(IneligibleReason.COLD)
        || skippedServers.containsKey(IneligibleReason.FULL)
        || skippedServers.containsKey(IneligibleReason.REJECTED)
        || skippedServers.containsKey(IneligibleReason.LIMITED);
  }

  /**
   * Returns the shortest remaining backoff, in milliseconds, of the servers that asked for one;
   * {@link Long#MAX_VALUE} if none did.
   */
  long remainingBackoffMs() {
    long leftMs = Long.MAX_VALUE;
    for (Backend backend : skippedServers.getOrDefault(IneligibleReason.RESTING, List.of())) {
      leftMs = Math.min(leftMs, backend.backoff().remainingMs(loop.millis()));
    }
    return leftMs;
  }

  /** Records that a planned attempt starts now. */
  void recordStart(AttemptPlan plan) {
    cold.sent(plan.backend(), plan.info());
    limited.sent(plan.backend());
    brittle.recordSend(plan.backend());
    if (plan.probe()) {
      health.probes(plan.backend());
    }
  }

  private PartFetchPlanner sources(
      Map<Long, PartFetchPlanner> known, long weights, ServiceInfo info) {
    return known.computeIfAbsent(
        weights,
        version ->
            new PartFetchPlanner(
                scope(version),
                Objects.requireNonNull(request.prompt()),
                Objects.requireNonNull(info.engine()),
                state.partStores(),
                store -> eligibility.isAllowedDataCentre(store.info().dataCentre(), homes),
                state.peerLoads(),
                loop.millis()));
  }

  private ServerSelector.Query query(ServiceInfo info, LongFunction<PartFetchPlanner> sources) {
    Prompt prompt = request.prompt();
    return new ServerSelector.Query(
        options.dataCentre(),
        info.engine(),
        info.engine() == null ? null : prompt,
        sources,
        state.peerLoads(),
        newestWeights(),
        state::rolloutPosition,
        Hashes.placement(request.splitKey()),
        Math.max(0, route.targetLatencyMs() - (loop.millis() - request.receivedAtMs())),
        loop.millis());
  }

  private int priority(ServiceInfo info) {
    if (info.engine() == null) {
      return -1;
    }
    int priority = team != null && team.priority() >= 0 ? team.priority() : route.priority();
    // Only few servers may be able to continue the stream, while others can begin new ones.
    return continuesStream ? Math.max(0, priority - 1) : priority;
  }

  /**
   * Returns the scope of the request's KV cache entries: the weight version, and the team if it is
   * isolated. Entries are found only in the scope in which they were created.
   */
  private String scope(long weights) {
    String version = "v" + weights;
    return team != null && team.isolated() ? version + "-" + team.name() : version;
  }

  /**
   * Returns the weight version that the server must have. If none is known, the newest version is
   * required; the engine refuses the request if it has another one.
   */
  private long requiredWeights(Backend backend, boolean tryNewest) {
    Prompt prompt = request.prompt();
    if (prompt == null) {
      return 0;
    }
    long known = backend.weightVersion(prompt.model());
    return tryNewest || known == 0 ? newestWeights().orElse(0) : known;
  }

  /**
   * Returns the KV transfers of an attempt that starts now, and records them. Parts are transferred
   * only if a weight version is required and the server was selected with it.
   */
  PartTransfers startTransfers(AttemptPlan plan) {
    Selection choice = plan.choice();
    FetchPlan fetch = choice.fetch();
    PartFetchPlanner sources = plan.sources();
    if (fetch == null || sources == null || plan.weights() == 0) {
      return PartTransfers.NONE;
    }
    return sources.startTransfers(request, choice.backend(), fetch, choice.cachedTokens());
  }

  /**
   * Returns the call that is sent to the server.
   *
   * @param leftMs time in milliseconds that the server has for the request
   * @param resumeAfter id of the last event that the caller received, or null
   */
  BackendCall createCall(
      AttemptPlan plan, PartTransfers moves, long leftMs, @Nullable String resumeAfter) {
    Backend backend = plan.backend();
    ServerEntry entry = backend.entry();
    int notices = backend.noticeCount();
    return new BackendCall(
        request,
        entry.id(),
        entry.address(),
        plan.info().connectionLimit(),
        leftMs,
        team == null ? null : team.name(),
        plan.priority(),
        plan.scope(),
        moves,
        plan.weights() > 0 ? OptionalLong.of(plan.weights()) : OptionalLong.empty(),
        resumeAfter,
        () -> backend.noticeCount() == notices);
  }

  /**
   * Returns the time in milliseconds from now within which the server must start the request,
   * because its weights have been replaced or the attempt is a probe; {@link Long#MAX_VALUE} if
   * unlimited.
   */
  long startTimeoutMs(AttemptPlan plan) {
    Prompt prompt = request.prompt();
    long mostMs = plan.probe() ? health.probeTimeoutMs(route) : Long.MAX_VALUE;
    if (prompt == null || plan.weights() == 0) {
      return mostMs;
    }
    long replacedMs = options.oldWeightsGraceMs() + START_ALLOWANCE_MS;
    return Math.min(mostMs, state.replacedGraceLeftMs(prompt.model(), plan.weights(), replacedMs));
  }

  /** Returns the facts behind a routing decision, for the log. */
  RoutingDecision facts(
      AttemptPlan plan, PartTransfers moves, int sends, @Nullable String resumeAfter) {
    ServingConfig config = state.config();
    Prompt prompt = request.prompt();
    Selection choice = plan.choice();
    Backend backend = plan.backend();
    return new RoutingDecision(
        backend.entry().id(),
        loop.millis() - request.receivedAtMs(),
        sends,
        plan.candidates(),
        choice.costMs(),
        choice.expectedMs(),
        backend.pendingTokens() + state.peerLoads().pendingTokens(backend.incarnationHash()),
        backend.timing().lagMs(loop.millis()),
        choice.memoryShare(),
        prompt == null ? 0 : prompt.tokens(),
        choice.cachedTokens(),
        choice.fetchedTokens(),
        moves,
        plan.weights(),
        newestWeights().orElse(0),
        prompt == null ? 0 : state.newestWeightsAgeMs(prompt.model()),
        config == null ? 0 : config.version(),
        Objects.requireNonNullElse(backend.softwareVersion(loop.millis()), ""),
        Objects.requireNonNullElse(resumeAfter, ""),
        Objects.requireNonNullElse(request.resumes(), ""));
  }

  OptionalLong newestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null ? OptionalLong.empty() : state.newestWeights(prompt.model());
  }

  private OptionalLong oldestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null
        ? OptionalLong.empty()
        : state.oldestUsableWeights(prompt.model(), options.oldWeightsGraceMs());
  }

  /**
   * Returns the servers whose weights are not too old. The known versions may be outdated. If no
   * server is left, the request may be sent to any server with the newest version as a requirement;
   * a server with another version refuses it.
   */
  private List<Backend> withRecentWeights(List<Backend> usable, OptionalLong oldest) {
    Prompt prompt = request.prompt();
    if (prompt == null || oldest.isEmpty()) {
      return usable;
    }
    List<Backend> recent = new ArrayList<>();
    for (Backend backend : usable) {
      if (backend.weightVersion(prompt.model()) >= oldest.getAsLong()) {
        recent.add(backend);
      }
    }
    return recent;
  }
}
