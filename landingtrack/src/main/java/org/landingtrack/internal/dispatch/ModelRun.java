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
import org.landingtrack.internal.explain.Trace;
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
final class ModelRun implements TokenSink {
  /** Longest gap between two tokens; also the time limit for the first token after a resume. */
  private static final long IDLE_MS = 10_000;

  private static final int MAX_ATTEMPTS = 6;

  /**
   * Largest number of refusals about loaded weights after which a further attempt costs no retry.
   */
  private static final int MAX_WEIGHT_REFUSALS = 64;

  private static final int EXPLAINED_OPTIONS = 4;

  private final ModelDispatcher parts;
  private final ModelRequest request;
  private final TokenSink caller;
  private final Trace trace;
  private final ServiceGates.Gate gate;
  private final RouteQueryFactory queries;
  private final Map<String, PrefixChain> chains = new HashMap<>();
  private final Set<String> excluded = new HashSet<>();
  private final long startMs;

  private int delivered;
  private String deliveredVersion = "";
  private double ttftMs = -1;
  private boolean claimed;
  private boolean mayHaveRun;
  private int attempts;
  private int weightRefusals;
  private @Nullable ServerState current;
  private long currentTokens;
  private long sentTokens;
  private long sentMs;

  ModelRun(ModelDispatcher dispatcher, ModelRequest request, TokenSink sink, Trace trace) {
    this.parts = dispatcher;
    this.request = request;
    this.caller = sink;
    this.trace = trace;
    this.gate = dispatcher.gates.gate(request.serviceName(), request.service());
    this.queries = new RouteQueryFactory(dispatcher, request, gate);
    this.startMs = dispatcher.ticker.millis();
  }

  DispatchReport run() throws InterruptedException {
    gate.retries().request(request.service().retryPercent());
    gate.queue().enter(request.team(), request.weight(), request.deadlineMs());
    long enteredMs = parts.ticker.millis();
    if (enteredMs - startMs > 1) {
      trace.say("The request waited " + (enteredMs - startMs) + " ms in the queue.");
    }
    try {
      return attemptAll();
    } catch (LandingtrackException e) {
      throw settle(e);
    } finally {
      gate.queue().leave(parts.ticker.millis() - enteredMs);
    }
  }

  /**
   * Returns the exception for the caller. Releases the claim if nothing ran. Reports an unknown
   * outcome instead of "not run" if an earlier attempt may have run.
   */
  private LandingtrackException settle(LandingtrackException failure) {
    boolean isNotRun = failure.kind().runState() == RunState.NOT_RUN;
    if (isNotRun && mayHaveRun) {
      return new LandingtrackException(
          ErrorKind.OUTCOME_UNKNOWN,
          "an earlier attempt may have run; the last one failed: " + failure.getMessage());
    }
    if (claimed && isNotRun) {
      parts.claims.release(request.keyHash(), request.id());
    }
    return failure;
  }

  private DispatchReport attemptAll() {
    while (true) {
      checkDeadline();
      Route route = route();
      claimOnce();
      attempts++;
      CompletionOutcome outcome = attempt(route);
      DispatchReport report = conclude(route, outcome);
      if (report != null) {
        return report;
      }
      if (isAboutWeights(outcome) && weightRefusals++ < MAX_WEIGHT_REFUSALS) {
        // A refusal that only reports the loaded weights is not a failure, so it costs no retry.
        attempts--;
        continue;
      }
      if (attempts >= MAX_ATTEMPTS || !gate.retries().tryRetry()) {
        throw new LandingtrackException(
            delivered > 0 ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.OVERLOADED,
            "no retry is left after "
                + attempts
                + " attempts (attempt limit or retry budget reached)");
      }
    }
  }

  private static boolean isAboutWeights(CompletionOutcome outcome) {
    return outcome instanceof CompletionOutcome.NotRun notRun && notRun.isAboutWeights();
  }

  private void checkDeadline() {
    if (delivered == 0 && parts.ticker.millis() >= request.deadlineMs()) {
      throw new LandingtrackException(
          ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed before the request was sent");
    }
  }

  /** The selected server with its estimate, the weight version to request and the block keys. */
  private record Route(ServerState state, RouteOption option, String version, PrefixChain chain) {}

  private Route route() {
    Catalog catalog = parts.catalog.get();
    VersionChoice selection = chooseVersion(catalog);
    String version = selection.version();
    PrefixChain chain = chain(version);
    RouteDecision decision = parts.policy.decide(queries.query(catalog, chain, selection));
    Optional<RouteOption> chosen = decision.chosen();
    decision.rejected().forEach(trace::say);
    if (chosen.isEmpty()) {
      throw new LandingtrackException(
          ErrorKind.NO_BACKEND_SERVER,
          "no usable backend server of " + request.serviceName() + " for the request now");
    }
    explain(decision, version);
    refuseIfHopeless(chosen.get());
    Optional<ServerState> state = parts.servers.find(chosen.get().server());
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
  private void refuseIfHopeless(RouteOption best) {
    long remainingMs = request.deadlineMs() - parts.ticker.millis();
    if (delivered > 0) {
      return;
    }
    boolean isLate = best.ttftMs() > remainingMs && best.queueMs() * 2 > remainingMs;
    if (isLate) {
      throw overloaded(
          "no backend server can start the request before its deadline", best.queueMs());
    }
    if (best.waitersMs() > remainingMs) {
      throw overloaded("the request would delay the waiting requests for too long", best.ttftMs());
    }
  }

  private static LandingtrackException overloaded(String reason, double retryAfterMs) {
    int retryAfterS = (int) Math.max(1, Math.ceil(retryAfterMs / 1_000));
    return new LandingtrackException(ErrorKind.OVERLOADED, reason, retryAfterS);
  }

  private void explain(RouteDecision decision, String version) {
    int shown = 0;
    for (RouteOption option : decision.options()) {
      String prefix = shown == 0 ? "Chosen under weight version " + version + ": " : "Not chosen: ";
      trace.say(prefix + option.sentence());
      shown++;
      if (shown == EXPLAINED_OPTIONS) {
        break;
      }
    }
  }

  private VersionChoice chooseVersion(Catalog catalog) {
    long now = parts.ticker.millis();
    List<ServerState> states = parts.servers.available(catalog, request.serviceName(), excluded);
    if (delivered > 0) {
      return VersionChoice.only(deliveredVersion, states, now);
    }
    String configured = VersionChoice.wanted(catalog, request);
    VersionChoice selection = VersionChoice.choose(configured, states, weightRefusals == 0, now);
    if (!selection.version().equals(configured)) {
      trace.say(
          "No backend server has weight version "
              + configured
              + " yet; version "
              + selection.version()
              + " is used.");
    }
    return selection;
  }

  private PrefixChain chain(String version) {
    return chains.computeIfAbsent(
        version, v -> PrefixChain.of(request.team(), request.serviceName(), v, request.prompt()));
  }

  private void claimOnce() {
    if (claimed || request.keyHash().isEmpty() || !request.noRepeat()) {
      return;
    }
    // Set before the call: an unconfirmed claim may still have been stored and must be released.
    claimed = true;
    parts.claims.claim(request.keyHash(), request.id());
    trace.say("The request key was claimed so that the request runs at most once.");
  }

  private CompletionOutcome attempt(Route route) {
    ServerState state = route.state();
    String address = state.server().spec().address();
    currentTokens = route.option().recomputedTokens();
    sentTokens = currentTokens;
    state.sent(currentTokens);
    current = state;
    try {
      new KeptRestore(parts, gate.links(), trace)
          .run(
              route.option(),
              route.chain(),
              address,
              queries.linkBytesPerSecond(),
              request.deadlineMs());
      CompletionCall call = call(route);
      sentMs = parts.ticker.millis();
      deliveredVersion = route.version();
      CompletionOutcome outcome = parts.client.complete(address, call, this);
      if (outcome instanceof CompletionOutcome.Broken broken && delivered > 0) {
        trace.say("The stream broke at token offset " + delivered + ": " + broken.why() + ".");
        outcome = parts.client.resume(address, call, delivered, this);
      }
      return outcome;
    } finally {
      state.prefillEnded(currentTokens);
      state.ended();
      current = null;
    }
  }

  private CompletionCall call(Route route) {
    return new CompletionCall(
        request.id() + "-" + attempts + "." + weightRefusals,
        request.serviceName(),
        request.messages(),
        request.maxTokens(),
        route.version(),
        route.chain().keys(),
        request.priority(),
        delivered,
        delivered > 0 ? parts.ticker.millis() + IDLE_MS : request.deadlineMs(),
        IDLE_MS);
  }

  /**
   * Records the outcome of an attempt. Returns the report of a complete answer, or null if a
   * further attempt is allowed.
   */
  private @Nullable DispatchReport conclude(Route route, CompletionOutcome outcome) {
    ServerState state = route.state();
    String name = route.option().server();
    long now = parts.ticker.millis();
    if (outcome instanceof CompletionOutcome.Whole whole) {
      state.succeeded(now);
      state.hasWeightVersion(route.version(), now);
      trace.say(
          name
              + " sent a complete answer: "
              + whole.usage().cachedTokens()
              + " of "
              + whole.usage().promptTokens()
              + " prompt tokens came from its prefix cache.");
      return new DispatchReport(name, route.version(), whole.usage(), ttftMs, attempts);
    }
    if (outcome instanceof CompletionOutcome.NotRun notRun) {
      noteNotRun(state, notRun, name, now);
      return null;
    }
    if (outcome instanceof CompletionOutcome.TooLate late) {
      state.failed(now);
      learnWait(state, now);
      throw new LandingtrackException(
          late.ran() ? ErrorKind.DEADLINE_IN_RUN : ErrorKind.DEADLINE_BEFORE_RUN,
          "no first token arrived from " + name + " before the deadline");
    }
    if (outcome instanceof CompletionOutcome.Failed failed) {
      noteFault(state, name, failed.why(), ErrorKind.FAILED_IN_RUN);
    } else if (outcome instanceof CompletionOutcome.Broken broken) {
      noteFault(state, name, broken.why(), ErrorKind.OUTCOME_UNKNOWN);
    }
    return null;
  }

  /**
   * Records an attempt that ran or may have run, and throws if the request must not be repeated.
   */
  private void noteFault(ServerState state, String name, String reason, ErrorKind kind) {
    mayHaveRun = true;
    state.failed(parts.ticker.millis());
    trace.say(name + " failed after " + delivered + " delivered tokens: " + reason + ".");
    excluded.add(name);
    if (request.noRepeat()) {
      throw new LandingtrackException(
          kind, name + " failed and the request must not be repeated: " + reason);
    }
  }

  private void noteNotRun(
      ServerState state, CompletionOutcome.NotRun notRun, String name, long now) {
    trace.say(name + " did not run the request: " + notRun.why() + ".");
    switch (notRun.reason()) {
      case OTHER_VERSION -> {
        state.hasWeightVersion(notRun.currentWeightVersion(), now);
        return;
      }
      case LEAVING -> state.leaving(now);
      case FAULT -> state.failed(now);
      case BUSY, LOADING -> state.refused(now);
    }
    excluded.add(name);
  }

  @Override
  public void token(int offset, String text) {
    if (ttftMs < 0) {
      long now = parts.ticker.millis();
      ttftMs = now - startMs;
      if (current != null) {
        current.prefillEnded(currentTokens);
        learnWait(current, now);
        current.observed((double) (now - sentMs), sentTokens);
        currentTokens = 0;
      }
    }
    caller.token(offset, text);
    delivered = offset + 1;
  }

  /**
   * Records how long the request waited at a server beyond its own prefill. Called at the first
   * token or when the deadline passed without one.
   */
  private void learnWait(ServerState server, long now) {
    double elapsedMs = now - sentMs;
    double prefillMs = Math.min(elapsedMs, sentTokens * server.msPerToken());
    gate.limit().observed(elapsedMs - prefillMs, prefillMs, gate.queue().running(), sentMs, now);
    gate.queue().firstTokenAfter(elapsedMs);
  }

  @Override
  public void load(LoadReport report) {
    if (current != null) {
      current.reported(report);
    }
  }
}
