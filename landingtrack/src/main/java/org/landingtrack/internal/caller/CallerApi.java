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
package org.landingtrack.internal.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.admission.TeamLimiter;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Rule;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.catalog.Team;
import org.landingtrack.internal.dispatch.DispatchReport;
import org.landingtrack.internal.dispatch.ModelDispatcher;
import org.landingtrack.internal.dispatch.ModelRequest;
import org.landingtrack.internal.dispatch.PlainDispatcher;
import org.landingtrack.internal.dispatch.PlainDispatcher.PlainRequest;
import org.landingtrack.internal.engine.CallerGoneException;
import org.landingtrack.internal.engine.PlainCall;
import org.landingtrack.internal.engine.PlainOutcome;
import org.landingtrack.internal.explain.Explainer;
import org.landingtrack.internal.explain.Trace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the callers' HTTP interface: {@code POST /v1/chat/completions} for models and {@code
 * /services/{service}/…} for plain HTTP services. Authenticates the team, checks that it may use
 * the service, enforces the limits of the team and hands the request to a dispatcher. Thread-safe.
 */
public final class CallerApi {
  private static final Logger log = LoggerFactory.getLogger("caller");
  private static final int MAX_PLAIN_ANSWER_BYTES = 8 << 20;
  private static final String PLAIN_PATH = "/services/";
  private static final List<HandlerType> PLAIN_METHODS =
      List.of(
          HandlerType.GET,
          HandlerType.HEAD,
          HandlerType.POST,
          HandlerType.PUT,
          HandlerType.PATCH,
          HandlerType.DELETE);

  private final Supplier<Catalog> catalog;
  private final BooleanSupplier accepting;
  private final TeamLimiter limiter;
  private final ModelDispatcher models;
  private final PlainDispatcher plains;
  private final Explainer explainer;
  private final RequestIds ids;
  private final CallerLimits limits;
  private final InFlight inFlight;
  private final Ticker ticker;
  private final Counter requests;
  private final Histogram ttft;

  /** Limits on what a caller may send, and the deadline of a request that names none. */
  public record CallerLimits(int maxBodyBytes, long bodyTimeoutMs, long defaultDeadlineMs) {}

  public CallerApi(
      Supplier<Catalog> catalog,
      BooleanSupplier accepting,
      TeamLimiter limiter,
      ModelDispatcher modelDispatcher,
      PlainDispatcher plainDispatcher,
      Explainer explainer,
      RequestIds requestIds,
      CallerLimits limits,
      InFlight inFlight,
      Ticker ticker,
      Metrics metrics) {
    this.catalog = catalog;
    this.accepting = accepting;
    this.limiter = limiter;
    this.models = modelDispatcher;
    this.plains = plainDispatcher;
    this.explainer = explainer;
    this.ids = requestIds;
    this.limits = limits;
    this.inFlight = inFlight;
    this.ticker = ticker;
    this.requests =
        metrics.counter(
            "landingtrack_requests", "Requests by service and outcome.", "service", "outcome");
    this.ttft =
        metrics.histogram(
            "landingtrack_ttft_seconds", "Time from arrival to first token.", "service");
  }

  /** Adds the routes of this interface to an HTTP server. */
  public void addRoutes(JavalinConfig config) {
    config.routes.post("/v1/chat/completions", ctx -> handle(ctx, "chat", this::completion));
    for (HandlerType method : PLAIN_METHODS) {
      config.routes.addHttpHandler(
          method, "/services/{service}/<path>", ctx -> handle(ctx, "plain", this::plain));
    }
  }

  /** Handles one request that counts as in flight. */
  @FunctionalInterface
  private interface Step {
    void run(Context ctx, String requestId, Trace trace) throws InterruptedException;
  }

  private void handle(Context ctx, String label, Step step) throws InterruptedException {
    String id = ids.next();
    ctx.header(CallerHeaders.REQUEST_ID, id);
    Trace trace = new Trace();
    if (!inFlight.tryEnter()) {
      refuse(ctx, id, label, new LandingtrackException(ErrorKind.STOPPING, "this VM is stopping"));
      return;
    }
    try {
      if (!accepting.getAsBoolean()) {
        throw new LandingtrackException(
            ErrorKind.NOT_READY, "this gateway has no configuration yet");
      }
      step.run(ctx, id, trace);
    } catch (LandingtrackException e) {
      trace.say(
          "Answered with "
              + e.kind()
              + " ("
              + e.kind().runState().label()
              + "): "
              + e.getMessage()
              + ".");
      refuse(ctx, id, label, e);
    } catch (CallerGoneException e) {
      trace.say("The caller closed its connection; the attempt was cancelled.");
      requests.labelValues(label, "CALLER_GONE").inc();
    } finally {
      inFlight.leave();
      explainer.note(id, trace.sentences());
    }
  }

  private void refuse(Context ctx, String id, String label, LandingtrackException e) {
    requests.labelValues(label, e.kind().name()).inc();
    log.debug("Request {} ended with {}: {}.", id, e.kind(), e.getMessage());
    ObjectNode body = CallerAnswer.error(id, e);
    if (ctx.res().isCommitted()) {
      // The stream has begun: send the error as an event and no end mark, so the answer counts as
      // incomplete.
      SseWriter.tryError(ctx, body);
      return;
    }
    if (e.retryAfterSeconds() > 0) {
      ctx.header("Retry-After", Integer.toString(e.retryAfterSeconds()));
    }
    ctx.status(e.kind().httpStatus());
    ctx.contentType("application/json");
    ctx.result(body.toString());
  }

  /** An authenticated team with a service that a rule lets it use. */
  private record Entry(String team, Team teamSpec, String serviceName, Service service, Rule rule) {
    double weight(int priority) {
      return teamSpec.weight() * (1 << Math.min(priority, rule.maxPriority()));
    }
  }

  private String authenticate(Context ctx) {
    @Nullable String header = ctx.header("Authorization");
    if (header == null || !header.startsWith("Bearer ")) {
      throw new LandingtrackException(
          ErrorKind.UNAUTHENTICATED, "header Authorization must be 'Bearer <team key>'");
    }
    String hash = Hashes.sha256Hex(header.substring("Bearer ".length()).trim());
    return catalog
        .get()
        .teamOfKey(hash)
        .orElseThrow(
            () -> new LandingtrackException(ErrorKind.UNAUTHENTICATED, "the key is not known"));
  }

  /**
   * Finds the service and the rule that lets the team use it. A service that the team may not use
   * gives the same error as one that does not exist.
   */
  private Entry entry(String team, String serviceName, boolean model) {
    Catalog current = catalog.get();
    Team teamSpec = current.find(Kind.TEAM, team, Team.class).orElse(null);
    Service service = current.find(Kind.SERVICE, serviceName, Service.class).orElse(null);
    Rule rule = current.rule(team, serviceName).orElse(null);
    boolean typeMatches =
        service != null && (model ? service.isModel() : service.type().equals("plain"));
    if (teamSpec == null || service == null || rule == null || !typeMatches) {
      throw new LandingtrackException(
          ErrorKind.NOT_FOUND, "service '" + serviceName + "' does not exist");
    }
    return new Entry(team, teamSpec, serviceName, service, rule);
  }

  private byte[] body(Context ctx) {
    return BodyReader.read(
        ctx.bodyInputStream(),
        ctx.contentLength(),
        limits.maxBodyBytes(),
        limits.bodyTimeoutMs(),
        ticker);
  }

  private static String keyHash(String team, String service, String requestKey) {
    return requestKey.isEmpty()
        ? ""
        : Hashes.sha256Hex(team + "\n" + service + "\n" + requestKey).substring(0, 32);
  }

  private void completion(Context ctx, String id, Trace trace) throws InterruptedException {
    String team = authenticate(ctx);
    CallerHeaders headers = CallerHeaders.of(ctx, limits.defaultDeadlineMs());
    ChatRequest chat = ChatRequest.parse(body(ctx));
    Entry entry = entry(team, chat.model(), true);
    ModelRequest request =
        new ModelRequest(
            id,
            team,
            entry.serviceName(),
            entry.service(),
            chat.messages(),
            chat.prompt(),
            chat.maxTokens(),
            headers.priority(),
            entry.weight(headers.priority()),
            headers.noRepeat(),
            keyHash(team, entry.serviceName(), headers.requestKey()),
            ticker.millis() + headers.deadlineMs());
    trace.say("Team " + team + " asked service " + entry.serviceName() + ".");
    limiter.enter(team, entry.teamSpec());
    try {
      run(ctx, request, chat.stream(), trace);
    } finally {
      limiter.leave(team);
    }
  }

  private void run(Context ctx, ModelRequest request, boolean stream, Trace trace)
      throws InterruptedException {
    AnswerSink sink =
        stream
            ? new SseWriter(ctx, request.id(), request.serviceName())
            : new WholeAnswer(ctx, request.id(), request.serviceName());
    DispatchReport report = models.run(request, sink, trace);
    sink.end(report);
    requests.labelValues(request.serviceName(), "WHOLE").inc();
    ttft.labelValues(request.serviceName()).observe(report.ttftMs() / 1000);
  }

  private void plain(Context ctx, String id, Trace trace) throws InterruptedException {
    String team = authenticate(ctx);
    CallerHeaders headers = CallerHeaders.of(ctx, limits.defaultDeadlineMs());
    Entry entry = entry(team, ctx.pathParam("service"), false);
    byte[] body = body(ctx);
    String method = ctx.method().name();
    boolean isSafeMethod = method.equals("GET") || method.equals("HEAD");
    @Nullable String type = ctx.header("Content-Type");
    PlainCall call =
        new PlainCall(
            id,
            method,
            target(ctx),
            type == null ? "" : type,
            body,
            headers.deadlineMs(),
            MAX_PLAIN_ANSWER_BYTES);
    PlainRequest request =
        new PlainRequest(
            team,
            entry.serviceName(),
            entry.service(),
            entry.weight(headers.priority()),
            call,
            isSafeMethod && !headers.noRepeat(),
            keyHash(team, entry.serviceName(), headers.requestKey()),
            ticker.millis() + headers.deadlineMs());
    trace.say("Team " + team + " called plain service " + entry.serviceName() + ".");
    limiter.enter(team, entry.teamSpec());
    try {
      PlainOutcome.Whole answer = plains.run(request, trace);
      ctx.status(answer.status());
      ctx.contentType(answer.contentType());
      ctx.result(answer.body());
      requests.labelValues(entry.serviceName(), "WHOLE").inc();
    } finally {
      limiter.leave(team);
    }
  }

  private static String target(Context ctx) {
    String path = ctx.path();
    int slash = path.indexOf('/', PLAIN_PATH.length());
    @Nullable String query = ctx.queryString();
    return path.substring(slash) + (query == null ? "" : "?" + query);
  }
}
