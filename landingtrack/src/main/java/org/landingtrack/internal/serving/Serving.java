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
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.overload.AdmissionDecision;
import org.landingtrack.internal.quarantine.Quarantine.Change;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.landingtrack.internal.retry.FleetRetryBudget;
import org.landingtrack.internal.retry.RetryBudgetPolicy;

/**
 * Serves the requests of callers: starts a {@link RequestRun} for each, keeps those in flight, and
 * holds the components that route and retry them. Used on the event loop only.
 */
public final class Serving {
  private final EventLoop loop;
  private final ServingState state;
  private final BackendTransport transport;
  private final DecisionLog log;
  private final ServingOptions options;
  private final Set<RequestRun> running = new HashSet<>();
  private final RequestQueue waiting;
  private final AdmissionControl admission;
  private final CrashDetector ends;
  private final ServerNotices notices;
  private final ColdServers cold;
  private final LimitedServers limited;
  private final BrittleServers brittle;
  private final EndedIncarnations endedStarts;
  private final Eligibility eligibility;
  private final BackendHealth health;
  private final @Nullable FleetRetryBudget fleetRetries;

  public Serving(
      EventLoop loop,
      ServingState state,
      BackendTransport transport,
      DecisionLog log,
      ServingOptions options) {
    this.loop = loop;
    this.state = state;
    this.transport = transport;
    this.log = log;
    this.options = options;
    this.waiting = new RequestQueue(loop);
    this.admission =
        new AdmissionControl(
            loop,
            state,
            waiting,
            log,
            options.salt(),
            options.isEnabled(Mechanism.FLEET_ADMISSION));
    this.cold =
        new ColdServers(
            loop,
            state.peerLoads()::maxVms,
            options.coldOvershoot(),
            options.coldTolerance(),
            options.salt());
    this.limited =
        new LimitedServers(loop, state.serverLimits(), state.peerLoads(), options.salt());
    this.brittle =
        new BrittleServers(
            loop,
            state.peerLoads(),
            new SpareSlotTurns(
                loop, state.peerLoads(), state.servers()::countOfService, options.salt()));
    this.endedStarts = new EndedIncarnations(loop, state);
    this.eligibility =
        new Eligibility(
            loop,
            state.evacuations(),
            cold,
            limited,
            brittle,
            options.isEnabled(Mechanism.SHARED_HEALTH) ? endedStarts::isEnded : start -> false,
            options.regions());
    this.fleetRetries = fleetRetries(options);
    this.health = new BackendHealth(loop, state, log, options);
    this.notices = new ServerNotices(loop, log, state.serverLimits(), state.backoffs(), brittle);
    this.ends = new CrashDetector(state.quarantine(), loop, transport);
    state.servers().onIncarnationEnded(this::onInstanceReplaced);
    state.servers().onUnannouncedRemoval(ends::onServerEnded);
    state.quarantine().addListener(this::onSuspicionChanged);
  }

  private @Nullable FleetRetryBudget fleetRetries(ServingOptions options) {
    RetryBudgetPolicy terms = options.retryTerms();
    if (terms == null || !options.isEnabled(Mechanism.FLEET_RETRIES)) {
      return null;
    }
    FleetRetryBudget shared =
        new FleetRetryBudget(
            loop,
            terms,
            state.peerLoads()::maxVms,
            options.salt(),
            own -> state.registerTallies(TallyTopic.RETRIES, own));
    state.useFleetRetries(shared);
    return shared;
  }

  /**
   * Fails the requests in flight at a server incarnation that has been replaced, as after a crash.
   * Its connections may stay open and silent, and then requests would wait until their deadlines.
   */
  private void onInstanceReplaced(Backend replaced) {
    transport.dropConnections(replaced.entry().id());
    ends.onServerEnded(replaced);
    for (RequestRun run : List.copyOf(running)) {
      run.serverRestarted(replaced);
    }
  }

  /**
   * Cancels the attempts of requests that were quarantined at servers that have not started them:
   * several VMs may have sent such requests at the same time.
   */
  private void onSuspicionChanged(Suspicion suspicion) {
    log.suspicionChanged(suspicion);
    if (suspicion.change() == Change.QUARANTINED) {
      loop.execute(() -> List.copyOf(running).forEach(run -> run.onQuarantined(suspicion.key())));
    }
  }

  /**
   * Starts to serve a request; call {@link RequestRun#callerDisconnected} if the caller
   * disconnects.
   */
  public RequestRun serve(CallerRequest request, CallerSink sink) {
    RequestRun run = new RequestRun(this, request, sink);
    running.add(run);
    run.start();
    return run;
  }

  /** Removes a request that is over. */
  void remove(RequestRun run) {
    running.remove(run);
    waiting.remove(run);
  }

  /** Returns the number of requests in flight at this VM, queued ones included. */
  public int runningCount() {
    return running.size();
  }

  /** Ends all requests in flight, with the reason for the log and the callers. */
  public void abortAll(String why) {
    List<RequestRun> runs = new ArrayList<>(running);
    for (RequestRun run : runs) {
      run.abort(why);
    }
  }

  /** Returns how often a server was skipped because it is cold, since the start. */
  public long passedOverCold() {
    return cold.passedOver();
  }

  /** Returns how often a server was skipped because of its rate limit, since the start. */
  public long passedOverLimited() {
    return limited.passedOver();
  }

  /** Returns the least share of requests that any service admits, 0 to 1; 1 without a shortage. */
  public double admissionLevel() {
    return admission.admission().leastAdmittedShare();
  }

  /** Returns how many requests were refused on arrival for a cause. */
  public long refusedOnArrival(AdmissionDecision.Cause cause) {
    return admission.admission().refusals(cause);
  }

  AdmissionControl admission() {
    return admission;
  }

  /** Returns how many retries were denied because the retry budget of all VMs was used up. */
  public long deniedRetries() {
    return fleetRetries == null ? 0 : fleetRetries.denied();
  }

  /** Returns the number of servers that are ejected by the outcomes of all VMs. */
  public int fleetEjectedCount() {
    return health.ejectedCount();
  }

  /** Returns how many requests this VM sent to ejected servers as probes. */
  public long probeCount() {
    return health.probes();
  }

  BackendHealth health() {
    return health;
  }

  ColdServers cold() {
    return cold;
  }

  BrittleServers brittle() {
    return brittle;
  }

  LimitedServers limited() {
    return limited;
  }

  Eligibility eligibility() {
    return eligibility;
  }

  EndedIncarnations endedStarts() {
    return endedStarts;
  }

  CrashDetector ends() {
    return ends;
  }

  ServerNotices notices() {
    return notices;
  }

  RequestQueue waiting() {
    return waiting;
  }

  EventLoop loop() {
    return loop;
  }

  ServingState state() {
    return state;
  }

  BackendTransport transport() {
    return transport;
  }

  DecisionLog log() {
    return log;
  }

  ServingOptions options() {
    return options;
  }
}
