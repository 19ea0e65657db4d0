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
package org.landingtrack.standins;

import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * HTTP server that stands in for a backend server of a plain service. It answers with its own name
 * and the path of the request, and counts how often each request ran.
 *
 * <p>Faults, see {@link Faults}:
 *
 * <ul>
 *   <li>{@code slowMs}: delay before each request runs.
 *   <li>{@code refuse}: rejects requests with 503 and states that they were not run.
 *   <li>{@code dropAfterRun}: the number of requests that run but get a truncated response on a
 *       connection that is then closed.
 * </ul>
 */
public final class PlainServer implements AutoCloseable {
  private final String name;
  private final Faults faults = new Faults();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Javalin http;

  /** Starts the server on a port; 0 selects a free one. */
  public PlainServer(String name, int port) {
    this.name = name;
    this.http =
        StandinHttp.start(
            port,
            config -> {
              faults.addRoute(config);
              config.routes.get("/runs", ctx -> ctx.json(runs));
              for (HandlerType method :
                  new HandlerType[] {
                    HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.DELETE
                  }) {
                config.routes.addHttpHandler(method, "/app/<path>", this::run);
              }
            });
  }

  public int port() {
    return http.port();
  }

  public Faults faults() {
    return faults;
  }

  /** Returns how often each request ran, by its body, or by its path if the body is empty. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  private void run(Context ctx) throws java.io.IOException {
    if (faults.isOn("refuse")) {
      ctx.status(503).header("X-Not-Run", "true").result("busy");
      return;
    }
    faults.sleepFor("slowMs");
    String body = ctx.body();
    runs.merge(body.isEmpty() ? ctx.path() : body, 1, Integer::sum);
    if (faults.tryConsume("dropAfterRun")) {
      throw new java.io.UncheckedIOException(sendTruncatedResponse(ctx));
    }
    ctx.contentType("application/json");
    ctx.result("{\"server\":\"" + name + "\",\"path\":\"" + ctx.path() + "\"}");
  }

  /** Sends less than it declares, so that the client sees a truncated response. */
  private static java.io.IOException sendTruncatedResponse(Context ctx) throws java.io.IOException {
    ctx.res().setContentLength(1_000);
    ctx.res().getOutputStream().write('{');
    ctx.res().flushBuffer();
    return new java.io.IOException("fault dropAfterRun: the response is truncated");
  }

  @Override
  public void close() {
    http.stop();
  }
}
