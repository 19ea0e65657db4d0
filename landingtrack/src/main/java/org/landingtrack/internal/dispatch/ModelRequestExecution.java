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

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.RunState;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.engine.CompletionCall;
import org.landingtrack.internal.engine.CompletionOutcome;
import org.landingtrack.internal.engine.TokenSink;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.LoadReport;
import org.landingtrack.internal.routing.RouteDecision;
import org.landingtrack.internal.routing.RouteOption;
import org.landingtrack.internal.routing.ServerState;

/**
 * Executes one model request: server selection, claim of the request key, attempts and resumed
 * streams. Used by one thread.
 *
 * <p>Rules for a further attempt: it is always allowed after {@link CompletionOutcome.NotRun}.
 * After a broken stream that cannot be resumed, only a request that may be repeated gets a further
 * attempt. Once tokens were delivered to the caller, every further attempt uses the same weight
 * version.
 */
final class ModelRequestExecution implements TokenSink {
  /** Longest gap between two tokens; also the time limit for the first token after a resume. */
  private static final long STREAM_IDLE_TIMEOUT_MS = 10_000;

  private static final int MAX_ATTEMPTS = 6;

  /**
   * Largest number of refusals about loaded weights after which a further attempt costs no retry.
   */
  private static final int MAX_WEIGHT_REFUSALS = 64;

  private static final int MAX_EXPLAINED_OPTIONS = 4;

  private final ModelDispatcher dispatcher;
  private final ModelRequest request;
  private final TokenSink callerSink;
  private final ExplanationBuilder trace;
  private final ServiceLimiters.Limiters limiters;
  private final RouteQueryFactory queryFactory;
  private final Map<String, PrefixChain> chainsByVersion = new HashMap<>();
  private final Set<String> excludedServers = new HashSet<>();
  private final long startMs;

  private int deliveredTokens;
  private String deliveredVersion = "";
  private double ttftMs = -1;
  private boolean claimed;
  private boolean mayHaveRun;
  private int attempts;
  private int weightRefusals;
  private @Nullable ServerState currentServer;
  private long pendingPrefillTokens;
  private long prefillTokens;
  private long sentMs;

  ModelRequestExecution(
      ModelDispatcher dispatcher, ModelRequest request, TokenSink sink, ExplanationBuilder trace) {
    this.dispatcher = dispatcher;
    this.request = request;
    this.callerSink = sink;
    this.trace = trace;
    this.limiters = dispatcher.serviceLimiters.limiters(request.serviceName(), request.service());
    this.queryFactory = new RouteQueryFactory(dispatcher, request, limiters);
    this.startMs = dispatcher.ticker.millis();
  }

  DispatchReport run() throws InterruptedException {
    limiters.retries().recordRequest(request.service().retryPercent());
    limiters.queue().acquire(request.team(), request.weight(), request.deadlineMs());
    long enteredMs = dispatcher.ticker.millis();
    if (enteredMs - startMs > 1) {
      trace.add("The request waited " + (enteredMs - startMs) + " ms in the queue.");
    }
    try {
      return runAttempts();
    } catch (LandingtrackException e) {
      throw handleFailure(e);
    } finally {
      limiters.queue().release(dispatcher.ticker.millis() - enteredMs);
    }
  }

  /**
   * Returns the exception for the caller. Releases the claim if nothing ran. Reports an unknown
   * outcome instead of "not run" if an earlier attempt may have run.
   */
  private LandingtrackException handleFailure(LandingtrackException failure) {
    boolean isNotRun = failure.kind().runState() == RunState.NOT_RUN;
    if (isNotRun && mayHaveRun) {
      return new LandingtrackException(
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier attempt may have run; the last one failed: " + failure.getMessage());
    }
    if (claimed && isNotRun) {
      dispatcher.claims.release(request.keyHash(), request.id());
    }
    return failure;
  }

  private DispatchReport runAttempts() {
    while (true) {
      checkDeadline();
      Route route = selectRoute();
      claimRequestKey();
      attempts++;
      CompletionOutcome outcome = attempt(route);
      DispatchReport report = handleOutcome(route, outcome);
      if (report != null) {
        return report;
      }
      if (isWeightRefusal(outcome) && weightRefusals++ < MAX_WEIGHT_REFUSALS) {
        // A refusal that only reports the loaded weights is not a failure, so it costs no retry.
        attempts--;
        continue;
      }
      if (attempts >= MAX_ATTEMPTS || !limiters.retries().tryAcquire()) {
        throw new LandingtrackException(
            deliveredTokens > 0 ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.OVERLOADED,
            "no retry is left after "
                + attempts
                + " attempts (attempt limit or retry budget reached)");
      }
    }
  }

  private static boolean isWeightRefusal(CompletionOutcome outcome) {
    return outcome instanceof CompletionOutcome.NotRun notRun && notRun.isWeightRefusal();
  }

  private void checkDeadline() {
    if (deliveredTokens == 0 && dispatcher.ticker.millis() >= request.deadlineMs()) {
      throw new LandingtrackException(
          ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed before the request was sent");
    }
  }

  /** The selected server with its estimate, the weight version to request and the block keys. */
  private record Route(
      ServerState serverState, RouteOption option, String version, PrefixChain chain) {}

  private Route selectRoute() {
    Catalog catalog = dispatcher.catalog.get();
    VersionSelection selection = selectVersion(catalog);
    String version = selection.version();
    PrefixChain chain = prefixChain(version);
    RouteDecision decision =
        dispatcher.policy.decide(queryFactory.createQuery(catalog, chain, selection));
    Optional<RouteOption> chosen = decision.chosen();
    decision.rejectionReasons().forEach(trace::add);
    if (chosen.isEmpty()) {
      throw new LandingtrackException(
          ErrorKind.NO_BACKEND_SERVER,
          "no usable backend server of " + request.serviceName() + " for the request now");
    }
    traceOptions(decision, version);
    rejectIfTooLate(chosen.get());
    Optional<ServerState> state = dispatcher.servers.find(chosen.get().server());
    if (state.isEmpty()) {
      throw new LandingtrackException(
          ErrorKind.NO_BACKEND_SERVER,
          "the selected backend server was removed from the catalog a moment ago");
    }
    return new Route(state.get(), chosen.get(), version, chain);
  }

  /**
   * Rejects a request that is not expected to deliver its first token before the deadline, if the
   * queue wait alone takes more than half of the remaining time: it would only take capacity from
   * other requests. Also rejects a request whose prefill would delay the waiting requests by more
   * than its own remaining time; the caller is to retry it later. Requests that already delivered
   * tokens are never rejected here.
   */
  private void rejectIfTooLate(RouteOption best) {
    long remainingMs = request.deadlineMs() - dispatcher.ticker.millis();
    if (deliveredTokens > 0) {
      return;
    }
    boolean isLate = best.ttftMs() > remainingMs && best.queueMs() * 2 > remainingMs;
    if (isLate) {
      throw overloadedError(
          "no backend server can start the request before its deadline", best.queueMs());
    }
    if (best.waitingDelayMs() > remainingMs) {
      throw overloadedError(
          "the request would delay the waiting requests for too long", best.ttftMs());
    }
  }

  private static LandingtrackException overloadedError(String reason, double retryAfterMs) {
    int retryAfterS = (int) Math.max(1, Math.ceil(retryAfterMs / 1_000));
    return new LandingtrackException(ErrorKind.OVERLOADED, reason, retryAfterS);
  }

  private void traceOptions(RouteDecision decision, String version) {
    int shown = 0;
    for (RouteOption option : decision.options()) {
      String prefix = shown == 0 ? "Chosen under weight version " + version + ": " : "Not chosen: ";
      trace.add(prefix + option.describe());
      shown++;
      if (shown == MAX_EXPLAINED_OPTIONS) {
        break;
      }
    }
  }

  private VersionSelection selectVersion(Catalog catalog) {
    long now = dispatcher.ticker.millis();
    List<ServerState> states =
        dispatcher.servers.available(catalog, request.serviceName(), excludedServers);
    if (deliveredTokens > 0) {
      return VersionSelection.forVersion(deliveredVersion, states, now);
    }
    String configured = VersionSelection.configuredVersion(catalog, request);
    VersionSelection selection =
        VersionSelection.select(configured, states, weightRefusals == 0, now);
    if (!selection.version().equals(configured)) {
      trace.add(
          "No backend server has weight version "
              + configured
              + " yet; version "
              + selection.version()
              + " is used.");
    }
    return selection;
  }

  private PrefixChain prefixChain(String version) {
    return chainsByVersion.computeIfAbsent(
        version, v -> PrefixChain.of(request.team(), request.serviceName(), v, request.prompt()));
  }

  private void claimRequestKey() {
    if (claimed || request.keyHash().isEmpty() || !request.noRepeat()) {
      return;
    }
    // Set before the call: an unconfirmed claim may still have been stored and must be released.
    claimed = true;
    dispatcher.claims.claim(request.keyHash(), request.id());
    trace.add("The request key was claimed so that the request runs at most once.");
  }

  private CompletionOutcome attempt(Route route) {
    ServerState state = route.serverState();
    String address = state.server().spec().address();
    pendingPrefillTokens = route.option().recomputedTokens();
    prefillTokens = pendingPrefillTokens;
    state.recordSent(pendingPrefillTokens);
    currentServer = state;
    try {
      new KvCacheRestorer(dispatcher, limiters.links(), trace)
          .restore(
              route.option(),
              route.chain(),
              address,
              queryFactory.linkBytesPerSecond(),
              request.deadlineMs());
      CompletionCall call = createCall(route);
      sentMs = dispatcher.ticker.millis();
      deliveredVersion = route.version();
      CompletionOutcome outcome = dispatcher.client.complete(address, call, this);
      if (outcome instanceof CompletionOutcome.Broken broken && deliveredTokens > 0) {
        trace.add(
            "The stream broke at token offset " + deliveredTokens + ": " + broken.detail() + ".");
        outcome = dispatcher.client.resume(address, call, deliveredTokens, this);
      }
      return outcome;
    } finally {
      state.recordPrefillEnd(pendingPrefillTokens);
      state.recordEnd();
      currentServer = null;
    }
  }

  private CompletionCall createCall(Route route) {
    return new CompletionCall(
        request.id() + "-" + attempts + "." + weightRefusals,
        request.serviceName(),
        request.messages(),
        request.maxTokens(),
        route.version(),
        route.chain().keys(),
        request.priority(),
        deliveredTokens,
        deliveredTokens > 0
            ? dispatcher.ticker.millis() + STREAM_IDLE_TIMEOUT_MS
            : request.deadlineMs(),
        STREAM_IDLE_TIMEOUT_MS);
  }

  /**
   * Records the outcome of an attempt. Returns the report of a complete answer, or null if a
   * further attempt is allowed.
   */
  private @Nullable DispatchReport handleOutcome(Route route, CompletionOutcome outcome) {
    ServerState state = route.serverState();
    String name = route.option().server();
    long now = dispatcher.ticker.millis();
    if (outcome instanceof CompletionOutcome.Whole whole) {
      state.recordSuccess(now);
      state.recordWeightVersion(route.version(), now);
      trace.add(
          name
              + " sent a complete answer: "
              + whole.usage().cachedTokens()
              + " of "
              + whole.usage().promptTokens()
              + " prompt tokens came from its prefix cache.");
      return new DispatchReport(name, route.version(), whole.usage(), ttftMs, attempts);
    }
    if (outcome instanceof CompletionOutcome.NotRun notRun) {
      recordNotRun(state, notRun, name, now);
      return null;
    }
    if (outcome instanceof CompletionOutcome.TooLate late) {
      state.recordFailure(now);
      recordQueueWait(state, now);
      throw new LandingtrackException(
          late.ran() ? ErrorKind.DEADLINE_IN_RUN : ErrorKind.DEADLINE_BEFORE_RUN,
          "no first token arrived from " + name + " before the deadline");
    }
    if (outcome instanceof CompletionOutcome.Failed failed) {
      recordFailure(state, name, failed.detail(), ErrorKind.FAILED_IN_RUN);
    } else if (outcome instanceof CompletionOutcome.Broken broken) {
      recordFailure(state, name, broken.detail(), ErrorKind.OUTCOME_UNKNOWN);
    }
    return null;
  }

  /**
   * Records an attempt that ran or may have run, and throws if the request must not be repeated.
   */
  private void recordFailure(ServerState state, String name, String reason, ErrorKind kind) {
    mayHaveRun = true;
    state.recordFailure(dispatcher.ticker.millis());
    trace.add(name + " failed after " + deliveredTokens + " delivered tokens: " + reason + ".");
    excludedServers.add(name);
    if (request.noRepeat()) {
      throw new LandingtrackException(
          kind, name + " failed and the request must not be repeated: " + reason);
    }
  }

  private void recordNotRun(
      ServerState state, CompletionOutcome.NotRun notRun, String name, long now) {
    trace.add(name + " did not run the request: " + notRun.detail() + ".");
    switch (notRun.reason()) {
      case OTHER_VERSION -> {
        state.recordWeightVersion(notRun.currentWeightVersion(), now);
        return;
      }
      case LEAVING -> state.recordLeaving(now);
      case FAULT -> state.recordFailure(now);
      case BUSY, LOADING -> state.recordRefusal(now);
    }
    excludedServers.add(name);
  }

  @Override
  public void token(int offset, String text) {
    if (ttftMs < 0) {
      long now = dispatcher.ticker.millis();
      ttftMs = now - startMs;
      if (currentServer != null) {
        currentServer.recordPrefillEnd(pendingPrefillTokens);
        recordQueueWait(currentServer, now);
        currentServer.recordPrefillTime((double) (now - sentMs), prefillTokens);
        pendingPrefillTokens = 0;
      }
    }
    callerSink.token(offset, text);
    deliveredTokens = offset + 1;
  }

  /**
   * Records how long the request waited at a server beyond its own prefill. Called at the first
   * token or when the deadline passed without one.
   */
  private void recordQueueWait(ServerState server, long now) {
    double elapsedMs = now - sentMs;
    double prefillMs = Math.min(elapsedMs, prefillTokens * server.msPerToken());
    limiters
        .limit()
        .recordFirstToken(
            elapsedMs - prefillMs, prefillMs, limiters.queue().running(), sentMs, now);
    limiters.queue().recordFirstToken(elapsedMs);
  }

  @Override
  public void load(LoadReport report) {
    if (currentServer != null) {
      currentServer.recordLoadReport(report);
    }
  }
}
