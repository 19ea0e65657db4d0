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
 * A plain service: answers with what it was asked, and counts how often each request id ran.
 *
 * <p>Faults: {@code slowMs}, {@code refuse} (503, says not run), {@code dropAfterRun} (so many
 * calls run and then get a cut connection).
 */
public final class PlainServer implements AutoCloseable {
  private final String name;
  private final Faults faults = new Faults();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final Javalin http;

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

  /** Returns how often each key ran; the key is the body, or the path if there is none. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  private void run(Context ctx) throws java.io.IOException {
    if (faults.on("refuse")) {
      ctx.status(503).header("X-Not-Run", "true").result("busy");
      return;
    }
    faults.sleepFor("slowMs");
    String body = ctx.body();
    runs.merge(body.isEmpty() ? ctx.path() : body, 1, Integer::sum);
    if (faults.takeOne("dropAfterRun")) {
      throw new java.io.UncheckedIOException(abort(ctx));
    }
    ctx.contentType("application/json");
    ctx.result("{\"server\":\"" + name + "\",\"path\":\"" + ctx.path() + "\"}");
  }

  /** Declares more than it sends, so that the caller sees a cut answer. */
  private static java.io.IOException abort(Context ctx) throws java.io.IOException {
    ctx.res().setContentLength(1_000);
    ctx.res().getOutputStream().write('{');
    ctx.res().flushBuffer();
    return new java.io.IOException("cut on purpose");
  }

  @Override
  public void close() {
    http.stop();
  }
}
