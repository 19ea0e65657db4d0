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
import org.landingtrack.internal.engine.CallerDisconnectedException;
import org.landingtrack.internal.engine.PlainCall;
import org.landingtrack.internal.engine.PlainOutcome;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.explain.ExplanationStore;
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
  private final ModelDispatcher modelDispatcher;
  private final PlainDispatcher plainDispatcher;
  private final ExplanationStore explainer;
  private final RequestIdGenerator requestIds;
  private final CallerLimits limits;
  private final InFlightRequests inFlight;
  private final Ticker ticker;
  private final Counter requestCounter;
  private final Histogram ttftHistogram;

  /** Limits on what a caller may send, and the deadline of a request that names none. */
  public record CallerLimits(int maxBodyBytes, long bodyTimeoutMs, long defaultDeadlineMs) {}

  public CallerApi(
      Supplier<Catalog> catalog,
      BooleanSupplier accepting,
      TeamLimiter limiter,
      ModelDispatcher modelDispatcher,
      PlainDispatcher plainDispatcher,
      ExplanationStore explainer,
      RequestIdGenerator requestIds,
      CallerLimits limits,
      InFlightRequests inFlight,
      Ticker ticker,
      Metrics metrics) {
    this.catalog = catalog;
    this.accepting = accepting;
    this.limiter = limiter;
    this.modelDispatcher = modelDispatcher;
    this.plainDispatcher = plainDispatcher;
    this.explainer = explainer;
    this.requestIds = requestIds;
    this.limits = limits;
    this.inFlight = inFlight;
    this.ticker = ticker;
    this.requestCounter =
        metrics.counter(
            "landingtrack_requests", "Requests by service and outcome.", "service", "outcome");
    this.ttftHistogram =
        metrics.histogram(
            "landingtrack_ttft_seconds", "Time from arrival to first token.", "service");
  }

  /** Adds the routes of this interface to an HTTP server. */
  public void addRoutes(JavalinConfig config) {
    config.routes.post("/v1/chat/completions", ctx -> handle(ctx, "chat", this::handleCompletion));
    for (HandlerType method : PLAIN_METHODS) {
      config.routes.addHttpHandler(
          method, "/services/{service}/<path>", ctx -> handle(ctx, "plain", this::handlePlainCall));
    }
  }

  /** Handles one request that counts as in flight. */
  @FunctionalInterface
  private interface RequestHandler {
    void handle(Context ctx, String requestId, ExplanationBuilder trace)
        throws InterruptedException;
  }

  private void handle(Context ctx, String label, RequestHandler step) throws InterruptedException {
    String id = requestIds.next();
    ctx.header(CallerHeaders.REQUEST_ID, id);
    ExplanationBuilder trace = new ExplanationBuilder();
    if (!inFlight.tryAcquire()) {
      sendError(
          ctx, id, label, new LandingtrackException(ErrorKind.STOPPING, "this VM is stopping"));
      return;
    }
    try {
      if (!accepting.getAsBoolean()) {
        throw new LandingtrackException(
            ErrorKind.NOT_READY, "this gateway has no configuration yet");
      }
      step.handle(ctx, id, trace);
    } catch (LandingtrackException e) {
      trace.add(
          "Answered with "
              + e.kind()
              + " ("
              + e.kind().runState().label()
              + "): "
              + e.getMessage()
              + ".");
      sendError(ctx, id, label, e);
    } catch (CallerDisconnectedException e) {
      trace.add("The caller closed its connection; the attempt was cancelled.");
      requestCounter.labelValues(label, "CALLER_GONE").inc();
    } finally {
      inFlight.release();
      explainer.add(id, trace.sentences());
    }
  }

  private void sendError(Context ctx, String id, String label, LandingtrackException e) {
    requestCounter.labelValues(label, e.kind().name()).inc();
    log.debug("Request {} ended with {}: {}.", id, e.kind(), e.getMessage());
    ObjectNode body = ResponseBodies.error(id, e);
    if (ctx.res().isCommitted()) {
      // The stream has begun: send the error as an event and no end mark, so the answer counts as
      // incomplete.
      SseResponseWriter.trySendError(ctx, body);
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
  private record AuthorizedTeam(
      String team, Team teamSpec, String serviceName, Service service, Rule rule) {
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
  private AuthorizedTeam authorize(String team, String serviceName, boolean model) {
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
    return new AuthorizedTeam(team, teamSpec, serviceName, service, rule);
  }

  private byte[] readBody(Context ctx) {
    return BodyReader.read(
        ctx.bodyInputStream(),
        ctx.contentLength(),
        limits.maxBodyBytes(),
        limits.bodyTimeoutMs(),
        ticker);
  }

  private static String hashRequestKey(String team, String service, String requestKey) {
    return requestKey.isEmpty()
        ? ""
        : Hashes.sha256Hex(team + "\n" + service + "\n" + requestKey).substring(0, 32);
  }

  private void handleCompletion(Context ctx, String id, ExplanationBuilder trace)
      throws InterruptedException {
    String team = authenticate(ctx);
    CallerHeaders headers = CallerHeaders.of(ctx, limits.defaultDeadlineMs());
    ChatRequest chat = ChatRequest.parse(readBody(ctx));
    AuthorizedTeam entry = authorize(team, chat.model(), true);
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
            hashRequestKey(team, entry.serviceName(), headers.requestKey()),
            ticker.millis() + headers.deadlineMs());
    trace.add("Team " + team + " asked service " + entry.serviceName() + ".");
    limiter.acquire(team, entry.teamSpec());
    try {
      runCompletion(ctx, request, chat.stream(), trace);
    } finally {
      limiter.release(team);
    }
  }

  private void runCompletion(
      Context ctx, ModelRequest request, boolean stream, ExplanationBuilder trace)
      throws InterruptedException {
    ResponseWriter sink =
        stream
            ? new SseResponseWriter(ctx, request.id(), request.serviceName())
            : new BufferedResponseWriter(ctx, request.id(), request.serviceName());
    DispatchReport report = modelDispatcher.run(request, sink, trace);
    sink.finish(report);
    requestCounter.labelValues(request.serviceName(), "WHOLE").inc();
    ttftHistogram.labelValues(request.serviceName()).observe(report.ttftMs() / 1000);
  }

  private void handlePlainCall(Context ctx, String id, ExplanationBuilder trace)
      throws InterruptedException {
    String team = authenticate(ctx);
    CallerHeaders headers = CallerHeaders.of(ctx, limits.defaultDeadlineMs());
    AuthorizedTeam entry = authorize(team, ctx.pathParam("service"), false);
    byte[] body = readBody(ctx);
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
            hashRequestKey(team, entry.serviceName(), headers.requestKey()),
            ticker.millis() + headers.deadlineMs());
    trace.add("Team " + team + " called plain service " + entry.serviceName() + ".");
    limiter.acquire(team, entry.teamSpec());
    try {
      PlainOutcome.Whole answer = plainDispatcher.run(request, trace);
      ctx.status(answer.status());
      ctx.contentType(answer.contentType());
      ctx.result(answer.body());
      requestCounter.labelValues(entry.serviceName(), "WHOLE").inc();
    } finally {
      limiter.release(team);
    }
  }

  private static String target(Context ctx) {
    String path = ctx.path();
    int slash = path.indexOf('/', PLAIN_PATH.length());
    @Nullable String query = ctx.queryString();
    return path.substring(slash) + (query == null ? "" : "?" + query);
  }
}
