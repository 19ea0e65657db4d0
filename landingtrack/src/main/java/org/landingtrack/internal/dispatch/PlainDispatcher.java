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
package org.landingtrack.internal.dispatch;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.RunState;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.engine.BackendClient;
import org.landingtrack.internal.engine.PlainCall;
import org.landingtrack.internal.engine.PlainOutcome;
import org.landingtrack.internal.explain.Trace;
import org.landingtrack.internal.routing.ServerState;
import org.landingtrack.internal.routing.ServerTable;

/** Runs calls of plain services on the server with the fewest calls. Thread-safe. */
public final class PlainDispatcher {
  private static final int MAX_ATTEMPTS = 3;

  private final Supplier<Catalog> catalog;
  private final ServerTable servers;
  private final ServiceGates gates;
  private final BackendClient client;
  private final ClaimGate claims;
  private final Ticker ticker;

  public PlainDispatcher(
      Supplier<Catalog> catalog,
      ServerTable servers,
      ServiceGates gates,
      BackendClient client,
      ClaimGate claims,
      Ticker ticker) {
    this.catalog = catalog;
    this.servers = servers;
    this.gates = gates;
    this.client = client;
    this.claims = claims;
    this.ticker = ticker;
  }

  /**
   * A checked call.
   *
   * @param repeatable true if it may run more than once
   * @param keyHash hash of team and request key; empty if there is none
   */
  public record PlainRequest(
      String team,
      String serviceName,
      Service service,
      double weight,
      PlainCall call,
      boolean repeatable,
      String keyHash,
      long deadlineMs) {}

  /** Runs a call to its whole answer, or throws what is known about it. */
  public PlainOutcome.Whole run(PlainRequest request, Trace trace) throws InterruptedException {
    ServiceGates.Gate gate = gates.gate(request.serviceName(), request.service());
    gate.retries().request(request.service().retryPercent());
    gate.queue().enter(request.team(), request.weight(), request.deadlineMs());
    long enteredMs = ticker.millis();
    boolean claimed = false;
    try {
      if (!request.repeatable() && !request.keyHash().isEmpty()) {
        // Set first: a claim that is not confirmed may still hold, and is then given back.
        claimed = true;
        claims.claim(request.keyHash(), request.call().requestId());
        trace.say("Its request key was claimed, so that it runs at most once.");
      }
      return attemptAll(request, gate, trace);
    } catch (LandingtrackException e) {
      if (claimed && e.kind().runState() == RunState.NOT_RUN) {
        claims.release(request.keyHash(), request.call().requestId());
      }
      throw e;
    } finally {
      gate.queue().leave(ticker.millis() - enteredMs);
    }
  }

  private PlainOutcome.Whole attemptAll(PlainRequest request, ServiceGates.Gate gate, Trace trace) {
    Set<String> excluded = new HashSet<>();
    boolean mayHaveRun = false;
    for (int attempt = 1; ; attempt++) {
      ServerState state = choose(request, excluded, mayHaveRun);
      String name = state.server().name();
      PlainOutcome outcome = call(state, request);
      if (outcome instanceof PlainOutcome.Whole whole) {
        state.succeeded(ticker.millis());
        trace.say(name + " answered with status " + whole.status() + ".");
        return whole;
      }
      boolean fault = true;
      String why = "";
      if (outcome instanceof PlainOutcome.NotRun notRun) {
        fault = notRun.fault();
        why = "did not run it: " + notRun.why();
      } else if (outcome instanceof PlainOutcome.Unknown unknown) {
        mayHaveRun = true;
        why = "may have run it: " + unknown.why();
      }
      trace.say(name + " " + why + ".");
      if (fault) {
        state.failed(ticker.millis());
      }
      excluded.add(name);
      boolean mayRetry = !mayHaveRun || request.repeatable();
      if (!mayRetry || attempt >= MAX_ATTEMPTS || !gate.retries().tryRetry()) {
        throw new LandingtrackException(
            mayHaveRun ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NO_BACKEND_SERVER, name + " " + why);
      }
    }
  }

  private PlainOutcome call(ServerState state, PlainRequest request) {
    state.sent(0);
    try {
      return client.plain(state.server().spec().address(), request.call());
    } finally {
      state.ended();
    }
  }

  private ServerState choose(PlainRequest request, Set<String> excluded, boolean mayHaveRun) {
    List<ServerState> available = servers.available(catalog.get(), request.serviceName(), excluded);
    long now = ticker.millis();
    return available.stream()
        .filter(state -> state.view(now).isUsable())
        .min(
            Comparator.comparingDouble(
                state -> (double) state.view(now).inFlight() / state.view(now).maxConcurrent()))
        .orElseThrow(
            () ->
                new LandingtrackException(
                    mayHaveRun ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NO_BACKEND_SERVER,
                    "no backend server of " + request.serviceName() + " can take the call now"));
  }
}
