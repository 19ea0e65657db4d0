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
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.overload.Verdict;
import org.landingtrack.internal.quarantine.RequestDigest;
import org.landingtrack.internal.serving.BackendTransport.AnswerHead;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;
import org.landingtrack.internal.serving.Route.Repeat;
import org.landingtrack.internal.serving.SendPlanner.SendPlan;

/**
 * Processes one request of a caller, from route lookup to the end of its response. A request is
 * sent to one backend server at a time. After an attempt that may have run, it is retried only if
 * the route allows that, and the caller is told "not run" only if no attempt may have run. Used on
 * the event loop only.
 */
public final class RequestRun {
  /** The size of a request to a plain service: one slot of a server, in hundredths of a slot. */
  static final long PLAIN_SIZE = 100;

  /** The least retry delay that a refused caller is given when no server can take its request. */
  private static final long RETRY_AFTER_MS = 250;

  private final Serving serving;
  private final CallerRequest request;
  private final CallerAnswer answer;
  private final EventLoop loop;
  private final SendHistory history = new SendHistory();

  private @Nullable Route route;
  private @Nullable Team team;
  private String service = "";
  private long endsAtMs;
  private EventLoop.@Nullable Timer deadline;
  private final Answers answers = new Answers();
  private @Nullable SendPlanner planner;
  private @Nullable Attempt attempt;
  private final RequestSuspicion suspicion;
  private boolean done;

  RequestRun(Serving serving, CallerRequest request, CallerSink sink) {
    this.serving = serving;
    this.request = request;
    this.loop = serving.loop();
    this.answer = new CallerAnswer(request, sink, loop);
    this.suspicion = new RequestSuspicion(request, serving.state().quarantine(), this::teamName);
  }

  public CallerRequest request() {
    return request;
  }

  /** Returns the name of the route, or an empty string before it is known. */
  public String routeName() {
    return route == null ? "" : route.name();
  }

  /** Returns the name of the service, or an empty string before it is known. */
  public String service() {
    return service;
  }

  /** Returns the name of the team, or an empty string if there is none. */
  public String teamName() {
    return team == null ? "" : team.name();
  }

  /** Returns the digest of the request; retries of its caller have the same digest. */
  public RequestDigest digest() {
    return suspicion.digest();
  }

  /** Returns the time since the request was received, in milliseconds. */
  public long ageMs() {
    return loop.millis() - request.receivedAtMs();
  }

  void start() {
    ServingConfig config = serving.state().config();
    if (config == null || !serving.state().ready()) {
      refuse(ErrorKind.NOT_READY, "configuration or server list not loaded yet", RETRY_AFTER_MS);
      return;
    }
    Route matched = config.route(request.host(), request.path()).orElse(null);
    if (matched == null) {
      refuse(ErrorKind.NOT_FOUND, "no route matches the host and path", 0);
      return;
    }
    route = matched;
    if (!matched.open() && config.needsKeys()) {
      team = config.team(request.key()).orElse(null);
      if (team == null) {
        refuse(ErrorKind.UNAUTHENTICATED, "missing or unknown API key", 0);
        return;
      }
    }
    service = matched.service(Hashes.placement(request.splitKey()));
    planner = new SendPlanner(serving, request, matched, team, service);
    serving.state().retries(service).request(serving.options().retryPercent());
    long timeoutMs = matched.timeoutMs();
    if (request.deadlineMs() > 0) {
      timeoutMs = Math.min(timeoutMs, request.deadlineMs());
    }
    endsAtMs = request.receivedAtMs() + timeoutMs;
    if (endsAtMs - loop.millis() <= SendHistory.MIN_LEFT_MS) {
      refuse(
          ErrorKind.OVERLOADED,
          "the request's deadline passed, or nearly so, before this VM could read it",
          RETRY_AFTER_MS);
      return;
    }
    Verdict verdict = serving.admission().decide(this, matched, endsAtMs - loop.millis());
    if (!verdict.isAdmitted()) {
      refuse(ErrorKind.OVERLOADED, verdict.why(), verdict.retryAfterMs());
      return;
    }
    deadline = loop.schedule(Math.max(0, endsAtMs - loop.millis()), this::expire);
    send();
  }

  /** Sends a waiting request if a server can start it soon. */
  void tryNow() {
    if (!done && attempt == null) {
      send();
    }
  }

  private void send() {
    SendPlanner currentPlanner = planner;
    Route currentRoute = route;
    if (done || currentPlanner == null || currentRoute == null) {
      return;
    }
    if (suspicion.isQuarantined()) {
      endQuarantined();
      return;
    }
    SendPlan plan = currentPlanner.plan(history);
    if (plan == null) {
      awaitTurn(currentPlanner, currentRoute);
      return;
    }
    if (!isAdmitted(plan, currentRoute)) {
      return;
    }
    currentPlanner.begins(plan);
    Backend backend = plan.backend();
    PartMoves moves = currentPlanner.moves(plan);
    int attempts = history.begin(backend.entry().id());
    serving.log().routed(this, currentPlanner.facts(plan, moves, attempts));
    Attempt next = new Attempt(request, plan, serving, answers);
    attempt = next;
    long leftMs = Math.max(1, endsAtMs - loop.millis());
    next.start(
        serving.transport(),
        currentPlanner.call(plan, moves, leftMs, answer.lastEventId()),
        currentPlanner.mayBeginMs(plan));
  }

  /**
   * Queues a request that no server may have now, if its turn comes in time at a server that is
   * skipped only because it is cold or has a rate limit; otherwise ends the request.
   */
  private void awaitTurn(SendPlanner currentPlanner, Route currentRoute) {
    WaitingRuns waiting = serving.waiting();
    long waitMs = currentPlanner.waitMs(waiting.size());
    boolean hasWaited = waiting.contains(this) && currentPlanner.mayHaveTurn();
    // A queued request was admitted with the load known at that time. It stays in the queue until
    // no response can come before its deadline.
    if (EngineAdmission.isInTime(hasWaited ? 0 : waitMs, endsAtMs - loop.millis())) {
      waiting.add(this, currentRoute.priority());
      return;
    }
    failWithout(
        currentPlanner.whyNone(), retryAfterMs(Math.min(waitMs, currentPlanner.restLeftMs())));
  }

  /**
   * Returns the retry delay for a refused caller. It is kept short, since another VM may have a
   * server for the request sooner.
   */
  private long retryAfterMs(long waitMs) {
    long callerHash = Hashes.placement(request.id());
    long leftMs = endsAtMs - loop.millis();
    return waitMs == Long.MAX_VALUE
        ? RETRY_AFTER_MS
        : Math.max(RETRY_AFTER_MS, EngineAdmission.retryAfterMs(waitMs, leftMs, callerHash));
  }

  /** Returns true if the request may be sent now; otherwise queues or refuses it. */
  private boolean isAdmitted(SendPlan plan, Route currentRoute) {
    if (plan.cacheTokens() == 0) {
      serving.waiting().begins(this);
      return true;
    }
    long waitMs = expectedWaitMs();
    long leftMs = endsAtMs - loop.millis();
    switch (EngineAdmission.decide(
        plan.choice(), ageMs(), currentRoute.targetLatencyMs(), leftMs, waitMs)) {
      case SEND -> {
        serving.waiting().begins(this);
        serving.admission().sent(this);
        return true;
      }
      case WAIT -> serving.waiting().add(this, Math.max(0, plan.priority()));
      case REFUSE -> refuseOverloaded(waitMs, leftMs);
    }
    return false;
  }

  /**
   * Returns the expected time in the queue; 0 for a queued request while admission control is on.
   * It was admitted with the load known at that time, and stays in the queue until no response can
   * come before its deadline.
   */
  private long expectedWaitMs() {
    WaitingRuns waiting = serving.waiting();
    boolean staysQueued = serving.admission().isOn() && waiting.contains(this);
    return staysQueued ? 0 : waiting.expectedWaitMs(this);
  }

  private void refuseOverloaded(long waitMs, long leftMs) {
    String why =
        "an engine is expected to start the request in "
            + waitMs
            + " ms, and "
            + leftMs
            + " ms are left until its deadline";
    if (history.inDoubt() || answer.hasBegunStream()) {
      failWithout(why);
      return;
    }
    long retryMs = EngineAdmission.retryAfterMs(waitMs, leftMs, Hashes.placement(request.id()));
    refuse(ErrorKind.OVERLOADED, why, retryMs);
  }

  /** Returns the request's priority within its service; 0 is the most urgent. */
  int rank() {
    Team currentTeam = team;
    int routePriority = route == null ? 0 : route.priority();
    return Math.max(
        0,
        currentTeam != null && currentTeam.priority() >= 0
            ? currentTeam.priority()
            : routePriority);
  }

  /**
   * Returns the size of the request for admission control: tokens of KV cache for an engine,
   * hundredths of a slot for a plain service.
   */
  long size() {
    return request.prompt() == null ? PLAIN_SIZE : Math.max(1, memoryTokens());
  }

  /** Returns the most KV cache that the request takes at an engine, in tokens. */
  long memoryTokens() {
    Prompt prompt = request.prompt();
    return prompt == null ? 0 : prompt.memoryTokens();
  }

  /** Returns true if a response can no longer come within the route's target latency. */
  boolean isLate() {
    Route current = route;
    return current != null && EngineAdmission.isLate(ageMs(), current.targetLatencyMs());
  }

  private void endQuarantined() {
    String why = suspicion.why();
    boolean isNeverRepeated = route != null && route.repeat() == Repeat.NEVER;
    if (answer.hasBegunStream() || (history.inDoubt() && isNeverRepeated)) {
      failWithout(why);
      return;
    }
    refuse(ErrorKind.QUARANTINED, why, suspicion.leftMs());
  }

  /**
   * Ends this request if it is the one that was quarantined, unless a server has already started
   * it.
   */
  void quarantined(RequestDigest quarantinedDigest) {
    boolean isThis = !done && suspicion.isOf(quarantinedDigest);
    Attempt current = attempt;
    if (!isThis || (current != null && current.hasBegun())) {
      return;
    }
    if (current != null) {
      cancel(current);
      history.mayHaveRun();
    }
    endQuarantined();
  }

  private boolean maySendAgain() {
    Route current = route;
    return current != null && history.maySendAgain(current, endsAtMs - loop.millis());
  }

  private boolean trySendAgain() {
    if (!maySendAgain() || !serving.state().retries(service).tryRetry()) {
      return false;
    }
    send();
    return true;
  }

  /** Ends a request that has no further server; the error tells whether it may have run. */
  private void failWithout(String why) {
    failWithout(why, RETRY_AFTER_MS);
  }

  private void failWithout(String why, long retryAfterMs) {
    if (answer.hasBegunStream()) {
      cut(why);
    } else if (history.inDoubt() && route != null && route.repeat() == Repeat.NEVER) {
      refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
    } else {
      refuse(ErrorKind.NO_BACKEND_SERVER, why, retryAfterMs);
    }
  }

  private void expire() {
    Attempt current = attempt;
    if (done) {
      return;
    }
    if (current != null) {
      cancel(current);
      history.mayHaveRun();
    }
    if (answer.hasBegunStream()) {
      cut("the time for the request is over");
    } else if (history.inDoubt()) {
      refuse(ErrorKind.DEADLINE_IN_RUN, "the time for the request is over", 0);
    } else {
      refuse(ErrorKind.OVERLOADED, "the time for the request is over", RETRY_AFTER_MS);
    }
  }

  /** Cancels the request because the caller closed its connection. */
  public void callerGone() {
    if (done) {
      return;
    }
    String server = serverName();
    stopAttempt();
    finish();
    serving.log().cut(this, server, "the caller left");
  }

  /**
   * Fails the attempt in flight if it was sent to a server incarnation that has been replaced by a
   * restart. That incarnation may have run the request.
   */
  void serverStartedAgain(Backend replaced) {
    Attempt current = attempt;
    if (current != null && current.backend() == replaced) {
      current.breakOff("the server started again");
    }
  }

  /** Ends the request because this process stops. */
  void giveUp(String why) {
    if (done) {
      return;
    }
    boolean mayHaveRun = history.inDoubt() || attempt != null;
    stopAttempt();
    if (answer.hasBegunStream()) {
      cut(why);
    } else if (mayHaveRun) {
      refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
    } else {
      refuse(ErrorKind.STOPPING, why, RETRY_AFTER_MS);
    }
  }

  private void stopAttempt() {
    Attempt current = attempt;
    if (current != null) {
      cancel(current);
    }
  }

  private void cancel(Attempt current) {
    attempt = null;
    current.cancel();
  }

  private void refuse(ErrorKind kind, String why, long retryAfterMs) {
    finish();
    serving.log().refused(this, kind, why, retryAfterMs);
    answer.refuse(kind, why, retryAfterMs);
  }

  private void cut(String why) {
    String server = serverName();
    finish();
    serving.log().cut(this, server, why);
    answer.abort();
  }

  private void finish() {
    done = true;
    if (deadline != null) {
      deadline.cancel();
    }
    serving.ended(this);
  }

  private String serverName() {
    return attempt == null ? "" : attempt.serverId();
  }

  /** Handles the outcome of the attempt in flight: ends the request or retries it. */
  private final class Answers implements Attempt.Outcome {
    @Override
    public void notRun(Attempt sent, NotRunReason reason, String why) {
      attempt = null;
      serving.log().tryFailed(RequestRun.this, sent.serverId(), "not-run " + reason, why);
      switch (reason) {
        case NO_CONNECTION -> {
          noteFailure(sent, why);
          if (history.notConnected()) {
            send();
            return;
          }
        }
        case RECALLED -> {
          history.recalled(sent.serverId());
          send();
          return;
        }
        case OTHER_SERVER -> {
          sent.backend().replacedByAnother();
          serving.ends().ended(sent.backend());
          serving.endedStarts().seen(sent.backend());
          serving.log().ejected(sent.serverId(), "another incarnation or server has its address");
        }
        case FULL -> sent.backend().refused(loop.millis());
        case OTHER_VERSION -> sent.refusedWeights(serving.state());
        case REFUSED, TOO_LATE -> {}
      }
      if (!trySendAgain()) {
        failWithout("not run: " + why);
      }
    }

    private void noteFailure(Attempt sent, String why) {
      if (sent.backend().failed(loop.millis())) {
        serving.log().ejected(sent.serverId(), why);
      }
    }

    @Override
    public void noticed(Attempt sent, ServerNotice notice) {
      serving.notices().heard(sent.backend(), notice, sent.sentAtMs());
    }

    @Override
    public void streamStarts(AnswerHead head) {
      answer.startStream(head);
    }

    @Override
    public void event(StreamEvent event) {
      answer.event(event);
    }

    @Override
    public void ended(Attempt sent, AnswerHead head, byte[] body) {
      attempt = null;
      answer.noteFirst();
      if (head.isServerError()) {
        serving.log().tryFailed(RequestRun.this, sent.serverId(), "status " + head.status(), "");
        history.mayHaveRun();
        if (trySendAgain()) {
          return;
        }
      } else {
        sent.succeeded();
        serving.admission().answered(RequestRun.this);
        suspicion.endedWell();
      }
      if (answer.hasBegunStream() && !head.isStream()) {
        cut("the stream could not be resumed: the server responded with status " + head.status());
        return;
      }
      finish();
      serving
          .log()
          .answered(RequestRun.this, sent.serverId(), head.status(), answer.firstMs(), ageMs());
      answer.end(head, body);
    }

    @Override
    public void broken(Attempt sent, String why) {
      attempt = null;
      history.mayHaveRun();
      noteFailure(sent, why);
      serving.log().brokeOff(RequestRun.this, sent.serverId(), "in doubt", why);
      serving.ends().brokeOff(suspicion.digest(), sent.backend());
      goOnInDoubt(why);
    }

    /** Does not count as a failure of the server: its weights were replaced, or it was probed. */
    @Override
    public void withdrawn(Attempt sent) {
      String why =
          sent.isProbe()
              ? "an ejected server that was probed did not start the request in time"
              : "the server did not start the request before its weights became too old";
      attempt = null;
      history.mayHaveRun();
      serving.log().brokeOff(RequestRun.this, sent.serverId(), "withdrawn", why);
      goOnInDoubt(why);
    }

    private void goOnInDoubt(String why) {
      boolean mayRetry =
          !answer.hasBegunStream() || (route != null && route.repeat() == Repeat.RESUME);
      // Whether the server crashed is known only a moment later. If it did, that crash may
      // quarantine the request.
      mayRetry &= suspicion.allowsOneMoreEnd();
      if (mayRetry && trySendAgain()) {
        return;
      }
      if (answer.hasBegunStream()) {
        cut(why);
      } else {
        refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
      }
    }
  }
}
