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
 * One request on its way through routing, claim, attempts and resumes. Used by one thread.
 *
 * <p>The rule for another attempt: after {@code NotRun} it is always allowed; after a broken stream
 * only a request that may be repeated starts anew, and never under another weight version once
 * tokens were sent on.
 */
final class ModelRun implements TokenSink {
  private static final long IDLE_MS = 10_000;

  private static final int MAX_ATTEMPTS = 6;
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

  ModelRun(ModelDispatcher parts, ModelRequest request, TokenSink caller, Trace trace) {
    this.parts = parts;
    this.request = request;
    this.caller = caller;
    this.trace = trace;
    this.gate = parts.gates.gate(request.serviceName(), request.service());
    this.queries = new RouteQueryFactory(parts, request, gate);
    this.startMs = parts.ticker.millis();
  }

  DispatchReport run() throws InterruptedException {
    gate.retries().request(request.service().retryPercent());
    gate.queue().enter(request.team(), request.weight(), request.deadlineMs());
    long enteredMs = parts.ticker.millis();
    if (enteredMs - startMs > 1) {
      trace.say("It waited " + (enteredMs - startMs) + " ms for its turn.");
    }
    try {
      return attemptAll();
    } catch (LandingtrackException e) {
      throw settle(e);
    } finally {
      gate.queue().leave(parts.ticker.millis() - enteredMs);
    }
  }

  /** Gives the claim back if nothing ran, and never says "not run" if something may have. */
  private LandingtrackException settle(LandingtrackException e) {
    boolean saysNotRun = e.kind().runState() == RunState.NOT_RUN;
    if (saysNotRun && mayHaveRun) {
      return new LandingtrackException(
          ErrorKind.OUTCOME_UNKNOWN, "an attempt may have run; then: " + e.getMessage());
    }
    if (claimed && saysNotRun) {
      parts.claims.release(request.keyHash(), request.id());
    }
    return e;
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
        // Learning what a server has loaded is no retry: nothing failed.
        attempts--;
        continue;
      }
      if (attempts >= MAX_ATTEMPTS || !gate.retries().tryRetry()) {
        throw new LandingtrackException(
            delivered > 0 ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.OVERLOADED,
            "no retry is left after " + attempts + " attempts");
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

  /** What was chosen: the server, the version that its answer will be of, and the keys for it. */
  private record Route(ServerState state, RouteOption option, String version, PrefixChain chain) {}

  private Route route() {
    Catalog catalog = parts.catalog.get();
    VersionChoice choice = chooseVersion(catalog);
    String version = choice.version();
    PrefixChain chain = chain(version);
    RouteDecision decision = parts.policy.decide(queries.query(catalog, chain, choice));
    Optional<RouteOption> chosen = decision.chosen();
    decision.rejected().forEach(trace::say);
    if (chosen.isEmpty()) {
      throw new LandingtrackException(
          ErrorKind.NO_BACKEND_SERVER,
          "no backend server of " + request.serviceName() + " can take the request now");
    }
    explain(decision, version);
    refuseIfHopeless(chosen.get());
    Optional<ServerState> state = parts.servers.find(chosen.get().server());
    if (state.isEmpty()) {
      throw new LandingtrackException(
          ErrorKind.NO_BACKEND_SERVER, "the chosen backend server was removed just now");
    }
    return new Route(state.get(), chosen.get(), version, chain);
  }

  /**
   * Work that cannot bring its first token in time would only take others' time; and while others
   * wait, work that delays them by more than this request's own time is better done later.
   */
  private void refuseIfHopeless(RouteOption best) {
    long leftMs = request.deadlineMs() - parts.ticker.millis();
    if (delivered > 0) {
      return;
    }
    boolean isLate = best.ttftMs() > leftMs && best.queueMs() * 2 > leftMs;
    if (isLate) {
      throw overloaded("no backend server can start it before the deadline", best.queueMs());
    }
    if (best.waitersMs() > leftMs) {
      throw overloaded("its work would delay those that wait for too long", best.ttftMs());
    }
  }

  private static LandingtrackException overloaded(String why, double backInMs) {
    int retryAfterS = (int) Math.max(1, Math.ceil(backInMs / 1_000));
    return new LandingtrackException(ErrorKind.OVERLOADED, why, retryAfterS);
  }

  private void explain(RouteDecision decision, String version) {
    int shown = 0;
    for (RouteOption option : decision.options()) {
      String lead = shown == 0 ? "Chosen under weight version " + version + ": " : "Not chosen: ";
      trace.say(lead + option.sentence());
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
    String wanted = VersionChoice.wanted(catalog, request);
    VersionChoice choice = VersionChoice.choose(wanted, states, weightRefusals == 0, now);
    if (!choice.version().equals(wanted)) {
      trace.say(
          "No backend server has weight version "
              + wanted
              + " yet; "
              + choice.version()
              + " is used.");
    }
    return choice;
  }

  private PrefixChain chain(String version) {
    return chains.computeIfAbsent(
        version, v -> PrefixChain.of(request.team(), request.serviceName(), v, request.prompt()));
  }

  private void claimOnce() {
    if (claimed || request.keyHash().isEmpty() || !request.noRepeat()) {
      return;
    }
    // Set first: a claim that is not confirmed may still hold, and is then given back.
    claimed = true;
    parts.claims.claim(request.keyHash(), request.id());
    trace.say("Its request key was claimed, so that it runs at most once.");
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
        trace.say("The stream broke at token " + delivered + ": " + broken.why() + ".");
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

  /** Returns the report of a whole answer, null for another attempt, or throws the final answer. */
  private @Nullable DispatchReport conclude(Route route, CompletionOutcome outcome) {
    ServerState state = route.state();
    String name = route.option().server();
    long now = parts.ticker.millis();
    if (outcome instanceof CompletionOutcome.Whole whole) {
      state.succeeded(now);
      state.hasWeightVersion(route.version(), now);
      trace.say(
          name
              + " answered whole: "
              + whole.usage().cachedTokens()
              + " of "
              + whole.usage().promptTokens()
              + " prompt tokens were reused.");
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
          "no first token came from " + name + " before the deadline");
    }
    if (outcome instanceof CompletionOutcome.Failed failed) {
      noteFault(state, name, failed.why(), ErrorKind.FAILED_IN_RUN);
    } else if (outcome instanceof CompletionOutcome.Broken broken) {
      noteFault(state, name, broken.why(), ErrorKind.OUTCOME_UNKNOWN);
    }
    return null;
  }

  /** Notes an attempt that ran or may have; only a request that may be repeated goes on. */
  private void noteFault(ServerState state, String name, String why, ErrorKind kind) {
    mayHaveRun = true;
    state.failed(parts.ticker.millis());
    trace.say(name + " broke off after " + delivered + " tokens: " + why + ".");
    excluded.add(name);
    if (request.noRepeat()) {
      throw new LandingtrackException(
          kind, name + " broke off and the request must not be repeated: " + why);
    }
  }

  private void noteNotRun(
      ServerState state, CompletionOutcome.NotRun notRun, String name, long now) {
    trace.say(name + " did not run it: " + notRun.why() + ".");
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

  /** Learns what requests wait at servers, from a first token or from waiting for it in vain. */
  private void learnWait(ServerState server, long now) {
    double elapsedMs = now - sentMs;
    double workMs = Math.min(elapsedMs, sentTokens * server.msPerToken());
    gate.limit().observed(elapsedMs - workMs, workMs, gate.queue().running(), sentMs, now);
    gate.queue().firstTokenAfter(elapsedMs);
  }

  @Override
  public void load(LoadReport report) {
    if (current != null) {
      current.reported(report);
    }
  }
}
