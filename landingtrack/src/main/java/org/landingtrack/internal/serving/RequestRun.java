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
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.serving.BackendTransport.AnswerHead;
import org.landingtrack.internal.serving.BackendTransport.BackendCall;
import org.landingtrack.internal.serving.BackendTransport.Exchange;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.BackendTransport.StreamEvent;
import org.landingtrack.internal.serving.DecisionLog.RouteFacts;
import org.landingtrack.internal.serving.Route.Repeat;
import org.landingtrack.internal.serving.ServerChooser.Choice;

/**
 * One request of a caller, from its route to the end of its answer. It is sent to one backend
 * server at a time. What may have run is sent again only if the route allows it; "not run" is said
 * only if no send is in doubt.
 */
public final class RequestRun {
  /** Connections that may fail before a request is refused; they are no sends. */
  private static final int MAX_CONNECT_FAILURES = 3;

  /** Less time than this is not worth another send. */
  private static final long MIN_LEFT_MS = 20;

  /** When a caller should come back after a refusal for lack of a server. */
  private static final long RETRY_AFTER_MS = 250;

  private static final int FIRST_SERVER_ERROR = 500;
  private static final int TOO_MANY = 429;
  private static final int TIMED_OUT = 408;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  private final Serving serving;
  private final CallerRequest request;
  private final CallerSink sink;
  private final EventLoop loop;
  private final Set<String> tried = new HashSet<>();

  private @Nullable Route route;
  private @Nullable Team team;
  private String service = "";
  private long endsAtMs;
  private EventLoop.@Nullable Timer deadline;
  private @Nullable Attempt attempt;
  private int sends;
  private int connectFailures;
  private boolean inDoubt;
  private boolean streamStarted;
  private long firstMs = -1;
  private @Nullable String lastEventId;
  private boolean done;

  RequestRun(Serving serving, CallerRequest request, CallerSink sink) {
    this.serving = serving;
    this.request = request;
    this.sink = sink;
    this.loop = serving.loop();
    this.lastEventId = request.resumeAfter();
  }

  public CallerRequest request() {
    return request;
  }

  /** Returns the name of the route, or nothing before it is known. */
  public String routeName() {
    return route == null ? "" : route.name();
  }

  /** Returns the service, or nothing before it is known. */
  public String service() {
    return service;
  }

  /** Returns the team's name, or nothing if there is none. */
  public String teamName() {
    return team == null ? "" : team.name();
  }

  /** Returns how long ago the request came. */
  public long ageMs() {
    return loop.millis() - request.receivedAtMs();
  }

  void start() {
    ServingConfig config = serving.state().config();
    if (config == null || !serving.state().ready()) {
      refuse(ErrorKind.NOT_READY, "configuration or servers not known yet", RETRY_AFTER_MS);
      return;
    }
    Route found = config.route(request.host(), request.path()).orElse(null);
    if (found == null) {
      refuse(ErrorKind.NOT_FOUND, "no route", 0);
      return;
    }
    route = found;
    if (!found.open() && config.needsKeys()) {
      team = config.team(request.key()).orElse(null);
      if (team == null) {
        refuse(ErrorKind.UNAUTHENTICATED, "unknown key", 0);
        return;
      }
    }
    service = found.service(Hashes.placement(splitKey()));
    serving.state().retries(service).request(serving.options().retryPercent());
    long mayTakeMs = found.timeoutMs();
    if (request.deadlineMs() > 0) {
      mayTakeMs = Math.min(mayTakeMs, request.deadlineMs());
    }
    endsAtMs = request.receivedAtMs() + mayTakeMs;
    deadline = loop.schedule(Math.max(0, endsAtMs - loop.millis()), this::expire);
    send();
  }

  /** Requests of one session go to the same part of a split. */
  private String splitKey() {
    Prompt prompt = request.prompt();
    return prompt == null ? request.id() : prompt.sessionKey();
  }

  private void send() {
    Route current = route;
    ServingConfig config = serving.state().config();
    if (done || current == null || config == null) {
      return;
    }
    ServiceInfo info = config.service(service);
    List<Backend> usable = serving.state().servers().usable(service, tried);
    OptionalLong oldest = oldestWeights();
    List<Backend> recent = recentEnough(usable, oldest);
    boolean gamble = recent.isEmpty() && !usable.isEmpty();
    Choice choice =
        info == null ? null : ServerChooser.choose(gamble ? usable : recent, query(info));
    if (info == null || choice == null) {
      failWithout("no usable server of " + service);
      return;
    }
    Backend backend = choice.backend();
    long leftMs = endsAtMs - loop.millis();
    sends++;
    tried.add(backend.entry().id());
    long weights = weightsOf(backend, gamble);
    String scope = scope(weights);
    PartMoves moves = moves(info, scope, weights);
    Prompt prompt = request.prompt();
    serving
        .log()
        .routed(
            this,
            new RouteFacts(
                backend.entry().id(),
                ageMs(),
                sends,
                usable.size(),
                choice.costMs(),
                backend.pendingTokens(),
                prompt == null ? 0 : prompt.tokens(),
                choice.keptTokens(),
                moves,
                weights,
                config.version()));
    Attempt next = new Attempt(backend, choice.keptTokens(), info, scope, moves);
    attempt = next;
    next.exchange =
        serving
            .transport()
            .send(
                new BackendCall(
                    request,
                    backend.entry().id(),
                    backend.entry().address(),
                    info.connectionLimit(),
                    Math.max(1, leftMs),
                    team == null ? null : team.name(),
                    priority(current, info),
                    scope,
                    moves,
                    weights > 0 ? OptionalLong.of(weights) : OptionalLong.empty(),
                    lastEventId),
                next);
  }

  private ServerChooser.Query query(ServiceInfo info) {
    Prompt prompt = request.prompt();
    return new ServerChooser.Query(
        service,
        serving.options().dataCentre(),
        info.engine(),
        info.engine() == null ? null : prompt,
        this::scope,
        serving.state().parts(),
        serving.state().peerLoads(),
        newestWeights(),
        serving.state()::rolloutRank,
        Hashes.placement(splitKey()),
        loop.millis());
  }

  private int priority(Route current, ServiceInfo info) {
    if (info.engine() == null) {
      return -1;
    }
    return team != null && team.priority() >= 0 ? team.priority() : current.priority();
  }

  /**
   * Kept state is found only under the scope in which it was made: a version of the weights, and
   * the team if it is isolated.
   */
  private String scope(long weights) {
    String version = "v" + weights;
    return team != null && team.isolated() ? version + "-" + team.name() : version;
  }

  private long weightsOf(Backend backend, boolean gamble) {
    Prompt prompt = request.prompt();
    if (prompt == null) {
      return 0;
    }
    return gamble ? newestWeights().orElse(0) : backend.weights(prompt.model());
  }

  /** Parts are moved only under a version that the server must have. */
  private PartMoves moves(ServiceInfo info, String scope, long weights) {
    Prompt prompt = request.prompt();
    if (prompt == null || info.engine() == null || weights == 0) {
      return PartMoves.NONE;
    }
    return serving.state().parts().plan(scope, prompt);
  }

  private OptionalLong newestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null ? OptionalLong.empty() : serving.state().newestWeights(prompt.model());
  }

  private OptionalLong oldestWeights() {
    Prompt prompt = request.prompt();
    return prompt == null
        ? OptionalLong.empty()
        : serving.state().oldestUsableWeights(prompt.model(), serving.options().oldWeightsMs());
  }

  /**
   * Returns the servers whose weights are not too old. What is known of them may lag; where none is
   * left, any may be asked for the newest version, which it refuses if it has another.
   */
  private List<Backend> recentEnough(List<Backend> usable, OptionalLong oldest) {
    Prompt prompt = request.prompt();
    if (prompt == null || oldest.isEmpty()) {
      return usable;
    }
    List<Backend> recent = new ArrayList<>();
    for (Backend backend : usable) {
      if (backend.weights(prompt.model()) >= oldest.getAsLong()) {
        recent.add(backend);
      }
    }
    return recent;
  }

  private boolean maySendAgain() {
    Route current = route;
    boolean mayRepeat = !inDoubt || (current != null && current.repeat() != Repeat.NEVER);
    return current != null
        && mayRepeat
        && sends < current.maxAttempts()
        && endsAtMs - loop.millis() > MIN_LEFT_MS;
  }

  private boolean trySendAgain() {
    if (!maySendAgain() || !serving.state().retries(service).tryRetry()) {
      return false;
    }
    send();
    return true;
  }

  /** Ends a request that no further send can help, by what is known of the sends so far. */
  private void failWithout(String why) {
    if (streamStarted) {
      cut(why);
    } else if (inDoubt && route != null && route.repeat() == Repeat.NEVER) {
      refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
    } else {
      refuse(ErrorKind.NO_BACKEND_SERVER, why, RETRY_AFTER_MS);
    }
  }

  private void expire() {
    Attempt current = attempt;
    if (done) {
      return;
    }
    if (current != null) {
      current.cancel();
      inDoubt = true;
    }
    if (streamStarted) {
      cut("the time for the request is over");
    } else if (inDoubt) {
      refuse(ErrorKind.DEADLINE_IN_RUN, "the time for the request is over", 0);
    } else {
      refuse(ErrorKind.OVERLOADED, "the time for the request is over", RETRY_AFTER_MS);
    }
  }

  /** Tells that the caller closed its connection. */
  public void callerGone() {
    if (done) {
      return;
    }
    String server = serverName();
    stopAttempt();
    finish();
    serving.log().cut(this, server, "the caller left");
  }

  /** Breaks the request off, because this process ends. */
  void giveUp(String why) {
    if (done) {
      return;
    }
    boolean mayHaveRun = inDoubt || attempt != null;
    stopAttempt();
    if (streamStarted) {
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
      current.cancel();
    }
  }

  private void refuse(ErrorKind kind, String why, long retryAfterMs) {
    finish();
    serving.log().refused(this, kind, why, retryAfterMs);
    sink.refuse(kind, why, retryAfterMs);
  }

  private void cut(String why) {
    String server = serverName();
    finish();
    serving.log().cut(this, server, why);
    sink.abort();
  }

  private void finish() {
    done = true;
    if (deadline != null) {
      deadline.cancel();
    }
    serving.ended(this);
  }

  private String serverName() {
    return attempt == null ? "" : attempt.backend.entry().id();
  }

  /** One send to one backend server, and what comes back. */
  private final class Attempt implements BackendTransport.Listener {
    private final Backend backend;
    private final long missingTokens;
    private final int cacheTokens;
    private final String scope;
    private final PartMoves moves;
    private @Nullable Exchange exchange;
    private @Nullable AnswerHead head;
    private boolean prefilling = true;
    private boolean over;

    Attempt(Backend backend, int keptTokens, ServiceInfo info, String scope, PartMoves moves) {
      this.backend = backend;
      this.moves = moves;
      this.scope = scope;
      this.cacheTokens = info.engine() == null ? 0 : info.engine().cacheTokens();
      Prompt prompt = request.prompt();
      this.missingTokens =
          prompt == null || cacheTokens == 0 ? 0 : Math.max(0, prompt.tokens() - keptTokens);
      backend.sent(missingTokens);
    }

    /** Closes the account of this send; returns false if it was closed before. */
    private boolean close() {
      if (over) {
        return false;
      }
      over = true;
      endPrefill();
      backend.finished();
      if (attempt == this) {
        attempt = null;
      }
      return true;
    }

    private void endPrefill() {
      if (prefilling) {
        prefilling = false;
        backend.prefilled(missingTokens);
        Prompt prompt = request.prompt();
        if (prompt != null) {
          serving.state().parts().fetched(prompt, moves);
        }
      }
    }

    void cancel() {
      if (close() && exchange != null) {
        exchange.cancel();
      }
    }

    @Override
    public void notRun(NotRunReason reason, String why) {
      if (!close() || done) {
        return;
      }
      serving.log().tryFailed(RequestRun.this, backend.entry().id(), "not-run " + reason, why);
      switch (reason) {
        case NO_CONNECTION -> {
          sends--;
          connectFailures++;
          noteFailure(why);
          if (connectFailures <= MAX_CONNECT_FAILURES) {
            send();
            return;
          }
        }
        case OTHER_SERVER -> noteFailure(why);
        case FULL -> backend.refused(loop.millis());
        case OTHER_VERSION -> {
          Prompt prompt = request.prompt();
          if (prompt != null) {
            backend.refusedWeights(prompt.model(), newestWeights().orElse(0));
          }
        }
        case REFUSED -> {}
      }
      if (!trySendAgain()) {
        failWithout("not run: " + why);
      }
    }

    private void noteFailure(String why) {
      if (backend.failed(loop.millis())) {
        serving.log().ejected(backend.entry().id(), why);
      }
    }

    @Override
    public void head(AnswerHead answer) {
      if (over) {
        return;
      }
      head = answer;
      Prompt prompt = request.prompt();
      if (prompt != null && answer.weightVersion().isPresent()) {
        backend.learnWeights(prompt.model(), answer.weightVersion().getAsLong());
      }
      if (!answer.isStream()) {
        return;
      }
      backend.succeeded();
      if (!streamStarted) {
        streamStarted = true;
        sink.startStream(answer.status(), answer.headers());
      }
    }

    @Override
    public void event(StreamEvent event) {
      if (over) {
        return;
      }
      noteFirst();
      if (!event.id().isEmpty()) {
        if (!isAfter(event.id(), lastEventId)) {
          return;
        }
        lastEventId = event.id();
      }
      sink.event(event.bytes());
    }

    private void noteFirst() {
      endPrefill();
      if (firstMs < 0) {
        firstMs = loop.millis() - request.receivedAtMs();
      }
    }

    @Override
    public void ended(byte[] body) {
      AnswerHead answer = head;
      if (over || answer == null) {
        return;
      }
      noteFirst();
      if (!close()) {
        return;
      }
      String server = backend.entry().id();
      if (answer.status() >= FIRST_SERVER_ERROR) {
        serving.log().tryFailed(RequestRun.this, server, "status " + answer.status(), "");
        inDoubt = true;
        if (trySendAgain()) {
          return;
        }
      } else {
        backend.succeeded();
        noteParts();
      }
      if (streamStarted && !answer.isStream()) {
        cut("a resumed stream was answered with status " + answer.status());
        return;
      }
      finish();
      long totalMs = ageMs();
      serving.log().answered(RequestRun.this, server, answer.status(), firstMs, totalMs);
      if (answer.isStream()) {
        sink.endStream();
      } else if (promisesNotRun(answer.status())) {
        // The server ran it, so this status would be untrue from us.
        sink.refuse(ErrorKind.FAILED_IN_RUN, "the server answered " + answer.status(), 0);
      } else {
        sink.answer(answer.status(), answer.headers(), body);
      }
    }

    private void noteParts() {
      Prompt prompt = request.prompt();
      if (prompt != null && cacheTokens > 0) {
        backend.keeps(scope, prompt, cacheTokens);
      }
    }

    @Override
    public void broken(String why) {
      if (!close() || done) {
        return;
      }
      inDoubt = true;
      noteFailure(why);
      serving.log().tryFailed(RequestRun.this, backend.entry().id(), "in doubt", why);
      boolean mayGoOn = !streamStarted || (route != null && route.repeat() == Repeat.RESUME);
      if (mayGoOn && trySendAgain()) {
        return;
      }
      if (streamStarted) {
        cut(why);
      } else {
        refuse(ErrorKind.OUTCOME_UNKNOWN, why, 0);
      }
    }
  }

  private static boolean promisesNotRun(int status) {
    return status == UNAVAILABLE
        || status == TOO_MANY
        || status == TIMED_OUT
        || status == MISDIRECTED;
  }

  /** Ids of events rise; a resumed stream may repeat what the caller has. */
  static boolean isAfter(String id, @Nullable String last) {
    if (last == null) {
      return true;
    }
    try {
      return Long.parseLong(id) > Long.parseLong(last);
    } catch (NumberFormatException e) {
      return !id.equals(last);
    }
  }
}
