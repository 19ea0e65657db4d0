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

import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.health.ExpectedWork;
import org.landingtrack.internal.health.SharedHealth;
import org.landingtrack.internal.loads.TallyTopic;
import org.landingtrack.internal.serving.BackendTransport.ResponseHead;
import org.landingtrack.internal.serving.ServerSelector.Selection;

/**
 * Reports the outcomes of attempts to the shared health data, and determines which backend servers
 * are ejected by it. Does nothing if operators disabled shared health. Not thread-safe; used on the
 * event loop only.
 */
final class BackendHealth {
  /**
   * Part of an engine's response time that is not prefill: the network and the step that produces
   * the first event.
   */
  private static final double ENGINE_OVERHEAD_MS = 20;

  /** Share of its latency target that a request may wait at an ejected server that it probes. */
  private static final double PROBE_SHARE = 0.5;

  private static final int UNAVAILABLE = 503;

  private final EventLoop loop;
  private final ServingState state;
  private final DecisionLog log;
  private final @Nullable SharedHealth shared;
  private long probes;

  BackendHealth(EventLoop loop, ServingState state, DecisionLog log, ServingOptions options) {
    this.loop = loop;
    this.state = state;
    this.log = log;
    this.shared = options.isEnabled(Mechanism.SHARED_HEALTH) ? shared() : null;
  }

  private SharedHealth shared() {
    SharedHealth health =
        new SharedHealth(
            loop,
            state.peerLoads(),
            own -> state.registerTallies(TallyTopic.SERVERS, own),
            state.servers()::incarnationsByService,
            new ChangeLogger());
    state.servers().ejectedByFleet(health::isEjected);
    return health;
  }

  /** Logs ejections and their ends. */
  private final class ChangeLogger implements SharedHealth.Listener {
    @Override
    public void ejected(long server, String why) {
      ServerEntry entry = state.servers().entryOfIncarnation(server);
      if (entry != null) {
        log.ejected(entry.id(), why);
      }
    }

    @Override
    public void reinstated(long server, String why) {
      ServerEntry entry = state.servers().entryOfIncarnation(server);
      if (entry != null) {
        log.serverChanged("no longer ejected: " + why, entry, 0);
      }
    }
  }

  /** Returns the expected work of a request on the chosen server, before it is sent there. */
  ExpectedWork work(Selection choice, Route route, boolean isEngine) {
    Backend backend = choice.backend();
    double units =
        isEngine
            ? choice.expectedMs() - backend.timing().lagMs(loop.millis()) + ENGINE_OVERHEAD_MS
            : plainUnits(backend);
    return new ExpectedWork(
        Hashes.placement(backend.entry().service()),
        backend.incarnationHash(),
        route.name(),
        Math.max(1, units),
        route.targetLatencyMs());
  }

  /**
   * Returns the position of a request in units of a server's slots. A plain server runs as many
   * requests at once as it has slots; those beyond that queue.
   */
  private double plainUnits(Backend backend) {
    int running = backend.inFlight() + state.peerLoads().running(backend.incarnationHash()) + 1;
    return (double) running / Math.max(1, backend.entry().slots());
  }

  void onSend(Attempt attempt, ExpectedWork work) {
    if (shared != null) {
      shared.onSend(attempt, work);
    }
  }

  /** Notes the first event of a stream. */
  void onFirstEvent(Attempt attempt) {
    if (shared != null) {
      shared.onAnswer(attempt, attempt.backend().incarnationHash());
    }
  }

  /**
   * Notes a complete answer. A 503 says that the server could not accept the request, which says
   * nothing about its health.
   */
  void onAnswer(Attempt attempt, ResponseHead head) {
    if (shared == null || head.status() == UNAVAILABLE) {
      return;
    }
    if (head.isServerError()) {
      shared.onFailure(attempt);
    } else {
      shared.onAnswer(attempt, attempt.backend().incarnationHash());
    }
  }

  /** Notes a connection that broke or could not be opened. */
  void onFailure(Attempt attempt) {
    if (shared != null) {
      shared.onFailure(attempt);
    }
  }

  /** Notes that no further outcome of an attempt will arrive. */
  void onClosed(Attempt attempt) {
    if (shared != null) {
      shared.onClosed(attempt);
    }
  }

  /** Returns true if a server is ejected and it is this VM's turn to probe it. */
  boolean mayProbe(Backend backend) {
    return shared != null && shared.mayProbe(backend.incarnationHash());
  }

  /**
   * Returns true if a request may be used to probe an ejected server: if the probe fails, it can
   * still be retried in time and loses nothing.
   */
  boolean mayCarryProbe(
      CallerRequest request, Route route, String service, AttemptHistory history) {
    long ageMs = loop.millis() - request.receivedAtMs();
    return shared != null
        && shared.ejectedCount() > 0
        && route.retryMode() != Route.RetryMode.NEVER
        && history.triedServerIds().isEmpty()
        && history.hasFurtherAttempt(route)
        && ageMs < (1 - PROBE_SHARE) * route.targetLatencyMs()
        && state.retries(service).hasRetry();
  }

  /** Returns how long a request that probes an ejected server may wait for its first event. */
  long probeTimeoutMs(Route route) {
    return (long) (PROBE_SHARE * route.targetLatencyMs());
  }

  /** Notes that a request probes an ejected server. */
  void probes(Backend backend) {
    if (shared != null) {
      probes++;
      shared.onProbe(backend.incarnationHash());
    }
  }

  /** Returns how often this VM probed an ejected server. */
  long probes() {
    return probes;
  }

  /** Returns the number of servers that are ejected by the shared health data. */
  int ejectedCount() {
    return shared == null ? 0 : shared.ejectedCount();
  }
}
