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

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.overload.AdmissionDecision;
import org.landingtrack.internal.quarantine.SuspectKey;
import org.landingtrack.internal.serving.AttemptPlanner.AttemptPlan;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.BackendTransport.ResponseHead;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.streams.OriginSearchResult;
import org.landingtrack.internal.streams.ServiceVersions;
import org.landingtrack.internal.streams.StreamKey;
import org.landingtrack.internal.streams.StreamOrigin;

/**
 * Processes one request of a caller, from route lookup to the end of its response. A request is
 * sent to one backend server at a time. After an attempt that may have run, it is retried only if
 * the route allows that, and the caller is told "not run" only if no attempt may have run. Used on
 * the event loop only.
 */
public final class RequestRun {
  /** The size of a request to a plain service: one slot of a server, in hundredths of a slot. */
  static final long PLAIN_REQUEST_SIZE = 100;

  /** The least retry delay that a refused caller is given when no server can take its request. */
  private static final long MIN_RETRY_AFTER_MS = 250;

  /** Age of a recorded origin after which an event records it anew, before it is forgotten. */
  private static final long ORIGIN_REFRESH_MS = ServiceVersions.RETENTION_MS / 2;

  private final Serving serving;
  private final CallerRequest request;
  private final CallerResponse response;
  private final EventLoop loop;
  private final AttemptHistory history = new AttemptHistory();

  private @Nullable Route route;
  private @Nullable Team team;
  private String service = "";
  private @Nullable StreamKey streamKey;
  private @Nullable StreamOrigin recordedOrigin;
  private long originRecordedAtMs;
  private long deadlineAtMs;
  private EventLoop.@Nullable Timer deadlineTimer;
  private final OutcomeHandler outcomeHandler = new OutcomeHandler();
  private @Nullable AttemptPlanner planner;
  private @Nullable Attempt attempt;
  private final RequestQuarantine quarantine;
  private boolean done;

  RequestRun(Serving serving, CallerRequest request, CallerSink sink) {
    this.serving = serving;
    this.request = request;
    this.loop = serving.loop();
    this.response = new CallerResponse(request, sink, loop);
    this.quarantine = new RequestQuarantine(request, serving.state().quarantine(), this::teamName);
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

  /** Returns the key of the request in the quarantine; retries of its caller have the same key. */
  public SuspectKey suspectKey() {
    return quarantine.requestKey();
  }

  /** Returns the time since the request was received, in milliseconds. */
  public long ageMs() {
    return loop.millis() - request.receivedAtMs();
  }

  void start() {
    ServingConfig config = serving.state().config();
    if (config == null || !serving.state().ready()) {
      refuse(
          ErrorKind.NOT_READY, "configuration or server list not loaded yet", MIN_RETRY_AFTER_MS);
      return;
    }
    Route matched = config.route(request.host(), request.path()).orElse(null);
    if (matched == null) {
      refuse(ErrorKind.NOT_FOUND, "no route matches the host and path", 0);
      return;
    }
    route = matched;
    if (!matched.allowsAnonymous() && config.requiresApiKeys()) {
      team = config.team(request.key()).orElse(null);
      if (team == null) {
        refuse(ErrorKind.UNAUTHENTICATED, "missing or unknown API key", 0);
        return;
      }
    }
    service = matched.serviceFor(Hashes.placement(request.splitKey()));
    if (matched.streaming() && request.resumeAfter() != null) {
      streamKey = StreamKey.of(teamName(), request.resumes());
      if (streamKey == null && request.prompt() == null && matched.targets().size() > 1) {
        resume(matched, OriginSearchResult.UNKNOWN_SERVICE);
        return;
      }
      serving.state().streams().find(streamKey, service, found -> resume(matched, found));
      return;
    }
    streamKey = StreamKey.of(teamName(), request.id());
    begin(matched, null);
  }

  /** Continues a stream that the caller resumes, at the service and version that began it. */
  private void resume(Route matched, OriginSearchResult found) {
    if (done) {
      return;
    }
    serving.log().originSearched(this, found);
    StreamOrigin origin = found.origin();
    if (origin == null) {
      refuse(
          ErrorKind.STREAM_NOT_RESUMABLE,
          "the software version that began the stream of request "
              + Objects.requireNonNullElse(request.resumes(), "(not named)")
              + " is not known",
          0);
      return;
    }
    if (!matched.hasTarget(origin.service())) {
      refuse(
          ErrorKind.STREAM_NOT_RESUMABLE,
          "the stream began at service " + origin.service() + ", which the route no longer has",
          0);
      return;
    }
    service = origin.service();
    begin(matched, origin);
  }

  /** Sends the request, or queues or refuses it. */
  private void begin(Route matched, @Nullable StreamOrigin origin) {
    AttemptPlanner newPlanner = new AttemptPlanner(serving, request, matched, team, service);
    planner = newPlanner;
    if (origin != null) {
      newPlanner.continueStreamAt(origin.softwareVersion());
    }
    serving.state().retries(service).recordRequest(serving.options().retryPercent());
    serving.brittle().recordRequest(service);
    long timeoutMs = matched.timeoutMs();
    if (request.deadlineMs() > 0) {
      timeoutMs = Math.min(timeoutMs, request.deadlineMs());
    }
    deadlineAtMs = request.receivedAtMs() + timeoutMs;
    if (deadlineAtMs - loop.millis() <= AttemptHistory.MIN_ATTEMPT_MS) {
      refuse(
          ErrorKind.OVERLOADED,
          "the request's deadline passed, or nearly so, before this VM could read it",
          MIN_RETRY_AFTER_MS);
      return;
    }
    AdmissionDecision verdict =
        serving.admission().decide(this, matched, deadlineAtMs - loop.millis());
    if (!verdict.isAdmitted()) {
      refuse(ErrorKind.OVERLOADED, verdict.reason(), verdict.retryAfterMs());
      return;
    }
    deadlineTimer = loop.schedule(Math.max(0, deadlineAtMs - loop.millis()), this::expire);
    send();
  }

  private boolean continuesStream() {
    AttemptPlanner currentPlanner = planner;
    return currentPlanner != null && currentPlanner.continuesStream();
  }

  /**
   * Queues a stream to continue that a full server rejected; returns false if it has to be refused.
   */
  private boolean queueAfterRejection(String serverId) {
    boolean mayWait =
        continuesStream()
            && history.recordRejection(serverId)
            && serving.state().retries(service).tryRetry();
    if (!mayWait) {
      return false;
    }
    serving.waiting().add(this, rank());
    send();
    return true;
  }

  /** Sends a waiting request if a server can start it soon. */
  void trySendQueued() {
    if (!done && attempt == null) {
      send();
    }
  }

  private void send() {
    AttemptPlanner currentPlanner = planner;
    Route currentRoute = route;
    if (done || currentPlanner == null || currentRoute == null) {
      return;
    }
    if (quarantine.isQuarantined()) {
      endQuarantined();
      return;
    }
    AttemptPlan plan = currentPlanner.plan(history);
    if (plan == null) {
      queueOrFail(currentPlanner, currentRoute);
      return;
    }
    if (!admitOrQueue(plan, currentRoute)) {
      return;
    }
    currentPlanner.recordStart(plan);
    Backend backend = plan.backend();
    PartTransfers moves = currentPlanner.startTransfers(plan);
    int attempts = history.recordAttempt(backend.entry().id());
    serving.log().routed(this, currentPlanner.facts(plan, moves, attempts, response.lastEventId()));
    Attempt next = new Attempt(request, plan, serving, outcomeHandler);
    attempt = next;
    long leftMs = Math.max(1, deadlineAtMs - loop.millis());
    next.start(
        serving.transport(),
        currentPlanner.createCall(plan, moves, leftMs, response.lastEventId()),
        currentPlanner.startTimeoutMs(plan));
  }

  /**
   * Queues a request that no server may have now, if its turn comes in time at a server that is
   * skipped only because it is cold or has a rate limit; otherwise ends the request.
   */
  private void queueOrFail(AttemptPlanner currentPlanner, Route currentRoute) {
    RequestQueue waiting = serving.waiting();
    long waitMs = currentPlanner.waitMs(waiting.size());
    boolean hasWaited = waiting.contains(this) && currentPlanner.canWaitForServer();
    // A queued request was admitted with the load known at that time. It stays in the queue until
    // no response can come before its deadline.
    if (EngineAdmission.isInTime(hasWaited ? 0 : waitMs, deadlineAtMs - loop.millis())) {
      waiting.add(this, currentRoute.priority());
      return;
    }
    failWithoutServer(
        currentPlanner.unavailableReason(),
        retryAfterMs(Math.min(waitMs, currentPlanner.remainingBackoffMs())));
  }

  /**
   * Returns the retry delay for a refused caller. It is kept short, since another VM may have a
   * server for the request sooner.
   */
  private long retryAfterMs(long waitMs) {
    long callerHash = Hashes.placement(request.id());
    long leftMs = deadlineAtMs - loop.millis();
    return waitMs == Long.MAX_VALUE
        ? MIN_RETRY_AFTER_MS
        : Math.max(MIN_RETRY_AFTER_MS, EngineAdmission.retryAfterMs(waitMs, leftMs, callerHash));
  }

  /** Returns true if the request may be sent now; otherwise queues or refuses it. */
  private boolean admitOrQueue(AttemptPlan plan, Route currentRoute) {
    if (plan.cacheTokens() == 0) {
      serving.waiting().recordStart(this);
      return true;
    }
    long waitMs = expectedWaitMs();
    long leftMs = deadlineAtMs - loop.millis();
    switch (EngineAdmission.decide(
        plan.choice(),
        ageMs(),
        currentRoute.targetLatencyMs(),
        leftMs,
        waitMs,
        !serving.brittle().isBrittle(service),
        continuesStream())) {
      case SEND -> {
        serving.waiting().recordStart(this);
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
    RequestQueue waiting = serving.waiting();
    boolean staysQueued = serving.admission().isEnabled() && waiting.contains(this);
    return staysQueued ? 0 : waiting.expectedWaitMs(this);
  }

  private void refuseOverloaded(long waitMs, long leftMs) {
    String why =
        "an engine is expected to start the request in "
            + waitMs
            + " ms, and "
            + leftMs
            + " ms are left until its deadline";
    if (history.inDoubt() || response.hasStartedStream()) {
      failWithoutServer(why);
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
    return request.prompt() == null ? PLAIN_REQUEST_SIZE : Math.max(1, memoryTokens());
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
    String why = quarantine.why();
    boolean isNeverRepeated = route != null && route.retryMode() == RetryMode.NEVER;
    if (response.hasStartedStream() || (history.inDoubt() && isNeverRepeated)) {
      failWithoutServer(why);
      return;
    }
    refuse(ErrorKind.QUARANTINED, why, quarantine.leftMs());
  }

  /**
   * Ends this request if it or a part of its prompt was quarantined, unless a server has already
   * started it.
   */
  void onQuarantined(SuspectKey quarantined) {
    boolean isThis = !done && quarantine.matches(quarantined);
    Attempt current = attempt;
    if (!isThis || (current != null && current.hasStarted())) {
      return;
    }
    if (current != null && cancel(current)) {
      history.markInDoubt();
    }
    endQuarantined();
  }

  private boolean mayRetry() {
    Route current = route;
    return current != null
        && response.isResumable()
        && history.mayRetry(current, deadlineAtMs - loop.millis());
  }

  private boolean tryRetry() {
    if (!mayRetry() || !serving.state().retries(service).tryRetry()) {
      return false;
    }
    send();
    return true;
  }

  /** Ends a request that has no further server; the error tells whether it may have run. */
  private void failWithoutServer(String why) {
    failWithoutServer(why, MIN_RETRY_AFTER_MS);
  }

  private void failWithoutServer(String why, long retryAfterMs) {
    if (response.hasStartedStream()) {
      abortStream(why);
    } else if (history.inDoubt() && route != null && route.retryMode() == RetryMode.NEVER) {
      refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
    } else if (planner != null && planner.lacksServerForStream()) {
      refuse(ErrorKind.STREAM_NOT_RESUMABLE, why, 0);
    } else {
      refuse(ErrorKind.NO_BACKEND_SERVER, why, retryAfterMs);
    }
  }

  private void expire() {
    Attempt current = attempt;
    if (done) {
      return;
    }
    if (current != null && cancel(current)) {
      history.markInDoubt();
    }
    if (response.hasStartedStream()) {
      abortStream("the time for the request is over");
    } else if (history.inDoubt()) {
      refuse(ErrorKind.DEADLINE_IN_RUN, "the time for the request is over", 0);
    } else {
      refuse(ErrorKind.OVERLOADED, "the time for the request is over", MIN_RETRY_AFTER_MS);
    }
  }

  /** Cancels the request because the caller closed its connection. */
  public void callerDisconnected() {
    if (done) {
      return;
    }
    String server = serverName();
    var unused = cancelAttempt();
    finish();
    serving.log().aborted(this, server, "the caller left");
  }

  /**
   * Fails the attempt in flight if it was sent to a server incarnation that has been replaced by a
   * restart. That incarnation may have run the request.
   */
  void serverRestarted(Backend replaced) {
    Attempt current = attempt;
    if (current != null && current.backend() == replaced) {
      current.failInDoubt("the server started again");
    }
  }

  /** Ends the request because this process stops. */
  void abort(String why) {
    if (done) {
      return;
    }
    boolean mayHaveRun = cancelAttempt() || history.inDoubt();
    if (response.hasStartedStream()) {
      abortStream(why);
    } else if (mayHaveRun) {
      refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
    } else {
      refuse(ErrorKind.STOPPING, why, MIN_RETRY_AFTER_MS);
    }
  }

  /** Cancels the attempt in flight; returns true if a server may have received it. */
  private boolean cancelAttempt() {
    Attempt current = attempt;
    return current != null && cancel(current);
  }

  private boolean cancel(Attempt current) {
    attempt = null;
    return current.cancel();
  }

  private void refuse(ErrorKind kind, String why, long retryAfterMs) {
    finish();
    serving.log().refused(this, kind, why, retryAfterMs);
    response.refuse(kind, why, retryAfterMs);
  }

  private void abortStream(String why) {
    String server = serverName();
    finish();
    serving.log().aborted(this, server, why);
    response.abort();
  }

  private void finish() {
    done = true;
    if (deadlineTimer != null) {
      deadlineTimer.cancel();
    }
    serving.remove(this);
  }

  private String serverName() {
    return attempt == null ? "" : attempt.serverId();
  }

  /** Handles the outcome of the attempt in flight: ends the request or retries it. */
  private final class OutcomeHandler implements Attempt.OutcomeListener {
    @Override
    public void notRun(Attempt sent, NotRunReason reason, String why) {
      attempt = null;
      serving.log().attemptFailed(RequestRun.this, sent.serverId(), "not-run " + reason, why);
      switch (reason) {
        case NO_CONNECTION -> {
          recordFailure(sent, why);
          if (history.recordConnectFailure()) {
            send();
            return;
          }
        }
        case RECALLED -> {
          history.recordRecall(sent.serverId());
          send();
          return;
        }
        case UNREACHABLE -> {
          if (history.recordConnectFailure()) {
            send();
          } else {
            failWithoutServer("not run: " + why);
          }
          return;
        }
        case OTHER_SERVER -> {
          sent.backend().markReplaced();
          serving.ends().onServerEnded(sent.backend());
          serving.endedStarts().markEnded(sent.backend());
          serving.log().ejected(sent.serverId(), "another incarnation or server has its address");
        }
        case FULL -> {
          sent.backend().refused(loop.millis());
          serving.notices().rejected(sent.backend());
          if (queueAfterRejection(sent.serverId())) {
            return;
          }
        }
        case OTHER_VERSION -> sent.refusedWeights(serving.state());
        case REFUSED, TOO_LATE -> {}
      }
      if (!tryRetry()) {
        failWithoutServer("not run: " + why);
      }
    }

    /** Records at which software version the stream goes on from now. */
    private void recordStreamStart(Backend server) {
      AttemptPlanner currentPlanner = planner;
      if (currentPlanner == null) {
        return;
      }
      if (!currentPlanner.continuesStream()) {
        currentPlanner.continueStreamAt(server.softwareVersion(loop.millis()));
      }
      String version = currentPlanner.softwareVersion();
      if (route == null || route.retryMode() != RetryMode.RESUME) {
        return;
      }
      if (version == null) {
        serving.state().servers().versions().markMixed(service);
      } else if (streamKey != null) {
        recordOrigin(streamKey, new StreamOrigin(service, version));
      }
    }

    private void recordOrigin(StreamKey key, StreamOrigin origin) {
      recordedOrigin = origin;
      originRecordedAtMs = loop.millis();
      serving.state().streams().recordStart(key, origin);
    }

    /** Keeps the origin of a running stream known, and its software version one that serves. */
    private void refreshOrigin() {
      StreamKey key = streamKey;
      StreamOrigin origin = recordedOrigin;
      boolean isDue = loop.millis() - originRecordedAtMs >= ORIGIN_REFRESH_MS;
      if (key == null || origin == null || !isDue) {
        return;
      }
      serving
          .state()
          .servers()
          .versions()
          .recordListed(origin.service(), origin.softwareVersion(), false);
      recordOrigin(key, origin);
    }

    private void recordFailure(Attempt sent, String why) {
      sent.backend().connectionLost(loop.millis());
      if (sent.backend().failed(loop.millis())) {
        serving.log().ejected(sent.serverId(), why);
      }
    }

    @Override
    public void noticeReceived(Attempt sent, ServerNotice notice) {
      serving.notices().apply(sent.backend(), notice, sent.sentAtMs());
    }

    @Override
    public void streamStarted(Attempt sent, ResponseHead head) {
      recordStreamStart(sent.backend());
      response.startStream(head);
    }

    @Override
    public void event(StreamEvent event) {
      refreshOrigin();
      response.event(event);
    }

    @Override
    public void completed(Attempt sent, ResponseHead head, byte[] body) {
      attempt = null;
      response.recordFirstResponse();
      if (head.isServerError()) {
        serving
            .log()
            .attemptFailed(RequestRun.this, sent.serverId(), "status " + head.status(), "");
        history.markInDoubt();
        if (tryRetry()) {
          return;
        }
      } else {
        sent.succeeded();
        serving.admission().responded(RequestRun.this);
        if (head.isSuccess()) {
          quarantine.recordSuccess();
        }
      }
      if (response.hasStartedStream() && !head.isStream()) {
        abortStream(
            "the stream could not be resumed: the server responded with status " + head.status());
        return;
      }
      finish();
      serving
          .log()
          .answered(
              RequestRun.this, sent.serverId(), head.status(), response.firstResponseMs(), ageMs());
      response.end(head, body);
    }

    @Override
    public void outcomeUnknown(Attempt sent, String why) {
      attempt = null;
      history.markInDoubt();
      recordFailure(sent, why);
      serving.log().attemptInDoubt(RequestRun.this, sent.serverId(), "in doubt", why);
      serving.ends().onRequestBroken(quarantine.charges(sent::hasServedPart), sent.backend());
      retryOrFailInDoubt(why);
    }

    /**
     * Retries a request that may be repeated. Any other one waits on: its server may run it, and
     * the response still arrives if the link recovers before the deadline.
     */
    @Override
    public void linkDown(Attempt sent) {
      boolean mayRepeat = route != null && route.retryMode() != RetryMode.NEVER;
      if (response.hasStartedStream()) {
        mayRepeat = route != null && route.retryMode() == RetryMode.RESUME;
      }
      if (!mayRepeat || !mayRetry() || !serving.state().retries(service).tryRetry()) {
        return;
      }
      cancel(sent);
      history.markInDoubt();
      serving.log().attemptInDoubt(RequestRun.this, sent.serverId(), "in doubt", "link down");
      send();
    }

    /** Does not count as a failure of the server: its weights were replaced, or it was probed. */
    @Override
    public void withdrawn(Attempt sent) {
      String why =
          sent.isProbe()
              ? "an ejected server that was probed did not start the request in time"
              : "the server did not start the request before its weights became too old";
      attempt = null;
      history.markInDoubt();
      serving.log().attemptInDoubt(RequestRun.this, sent.serverId(), "withdrawn", why);
      retryOrFailInDoubt(why);
    }

    private void retryOrFailInDoubt(String why) {
      boolean mayRetry =
          !response.hasStartedStream() || (route != null && route.retryMode() == RetryMode.RESUME);
      // Whether the server crashed is known only a moment later. If it did, that crash may
      // quarantine the request.
      mayRetry &= quarantine.allowsOneMoreCrash();
      if (mayRetry && tryRetry()) {
        return;
      }
      if (response.hasStartedStream()) {
        abortStream(why);
      } else {
        refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
      }
    }
  }
}
