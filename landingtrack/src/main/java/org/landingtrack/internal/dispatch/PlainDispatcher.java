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
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.routing.ServerState;
import org.landingtrack.internal.routing.ServerTable;

/**
 * Runs calls to plain HTTP services on the backend server with the fewest requests in flight
 * relative to its capacity. Thread-safe.
 */
public final class PlainDispatcher {
  private static final int MAX_ATTEMPTS = 3;

  private final Supplier<Catalog> catalog;
  private final ServerTable servers;
  private final ServiceLimiters serviceLimiters;
  private final BackendClient client;
  private final ClaimRegistry claims;
  private final Ticker ticker;

  public PlainDispatcher(
      Supplier<Catalog> catalog,
      ServerTable servers,
      ServiceLimiters serviceLimiters,
      BackendClient client,
      ClaimRegistry claims,
      Ticker ticker) {
    this.catalog = catalog;
    this.servers = servers;
    this.serviceLimiters = serviceLimiters;
    this.client = client;
    this.claims = claims;
    this.ticker = ticker;
  }

  /**
   * A validated call to a plain service.
   *
   * @param weight weight in the fair queue
   * @param repeatable true if the call may run more than once
   * @param keyHash hash of the team and the request key; empty if the call has no key
   * @param deadlineMs time on the monotonic clock until which the call may wait in the queue
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

  /**
   * Runs a call until its answer is complete. Blocks the calling thread.
   *
   * @throws LandingtrackException if there is no complete answer; its kind says whether the call
   *     ran
   */
  public PlainOutcome.Whole run(PlainRequest request, ExplanationBuilder trace)
      throws InterruptedException {
    ServiceLimiters.Limiters limiters =
        serviceLimiters.limiters(request.serviceName(), request.service());
    limiters.retries().recordRequest(request.service().retryPercent());
    limiters.queue().acquire(request.team(), request.weight(), request.deadlineMs());
    long enteredMs = ticker.millis();
    boolean claimed = false;
    try {
      if (!request.repeatable() && !request.keyHash().isEmpty()) {
        // Set before the call: an unconfirmed claim may still have been stored, and must then be
        // released.
        claimed = true;
        claims.claim(request.keyHash(), request.call().requestId());
        trace.add("The request key was claimed so that the request runs at most once.");
      }
      return runAttempts(request, limiters, trace);
    } catch (LandingtrackException e) {
      if (claimed && e.kind().runState() == RunState.NOT_RUN) {
        claims.release(request.keyHash(), request.call().requestId());
      }
      throw e;
    } finally {
      limiters.queue().release(ticker.millis() - enteredMs);
    }
  }

  private PlainOutcome.Whole runAttempts(
      PlainRequest request, ServiceLimiters.Limiters limiters, ExplanationBuilder trace) {
    Set<String> excluded = new HashSet<>();
    boolean mayHaveRun = false;
    for (int attempt = 1; ; attempt++) {
      ServerState state = selectServer(request, excluded, mayHaveRun);
      String name = state.server().name();
      PlainOutcome outcome = sendCall(state, request);
      if (outcome instanceof PlainOutcome.Whole whole) {
        state.recordSuccess(ticker.millis());
        trace.add(name + " answered with status " + whole.status() + ".");
        return whole;
      }
      boolean isFault = true;
      String reason = "";
      if (outcome instanceof PlainOutcome.NotRun notRun) {
        isFault = notRun.isFault();
        reason = "did not run the call: " + notRun.detail();
      } else if (outcome instanceof PlainOutcome.Unknown unknown) {
        mayHaveRun = true;
        reason = "may have run the call: " + unknown.detail();
      }
      trace.add(name + " " + reason + ".");
      if (isFault) {
        state.recordFailure(ticker.millis());
      }
      excluded.add(name);
      boolean mayRetry = !mayHaveRun || request.repeatable();
      if (!mayRetry || attempt >= MAX_ATTEMPTS || !limiters.retries().tryAcquire()) {
        throw new LandingtrackException(
            mayHaveRun ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NO_BACKEND_SERVER,
            name + " " + reason);
      }
    }
  }

  private PlainOutcome sendCall(ServerState state, PlainRequest request) {
    state.recordSent(0);
    try {
      return client.plain(state.server().spec().address(), request.call());
    } finally {
      state.recordEnd();
    }
  }

  private ServerState selectServer(PlainRequest request, Set<String> excluded, boolean mayHaveRun) {
    List<ServerState> available = servers.available(catalog.get(), request.serviceName(), excluded);
    long now = ticker.millis();
    return available.stream()
        .filter(state -> state.snapshot(now).isUsable())
        .min(
            Comparator.comparingDouble(
                state ->
                    (double) state.snapshot(now).inFlight() / state.snapshot(now).maxConcurrent()))
        .orElseThrow(
            () ->
                new LandingtrackException(
                    mayHaveRun ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NO_BACKEND_SERVER,
                    "no backend server of "
                        + request.serviceName()
                        + " is usable for the call now"));
  }
}
