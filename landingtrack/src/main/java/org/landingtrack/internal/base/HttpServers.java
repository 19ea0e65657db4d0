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
package org.landingtrack.internal.base;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Starts Javalin servers with the settings, health checks and metrics that every process has. */
public final class HttpServers {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int SPARE_THREADS = 16;

  private HttpServers() {}

  /**
   * Starts a server with {@code /health}, {@code /ready} and {@code /metrics}.
   *
   * @param maxConcurrent limit on concurrent requests, to which a few threads are added
   * @param idleTimeoutMs longest time without data while a request is read
   * @param ready whether the process accepts new requests; {@code /ready} answers 503 otherwise
   * @param more adds further routes
   */
  public static Javalin start(
      String host,
      int port,
      int maxConcurrent,
      long idleTimeoutMs,
      Metrics metrics,
      BooleanSupplier ready,
      Consumer<JavalinConfig> more) {
    return Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              QueuedThreadPool pool = new QueuedThreadPool(maxConcurrent + SPARE_THREADS, 8);
              pool.setName("http");
              pool.setDaemon(true);
              config.jetty.threadPool = pool;
              config.jetty.modifyHttpConfiguration(http -> http.setIdleTimeout(idleTimeoutMs));
              config.routes.get("/health", ctx -> ctx.result("live\n"));
              config.routes.get(
                  "/ready",
                  ctx -> {
                    boolean isReady = ready.getAsBoolean();
                    ctx.status(isReady ? OK : UNAVAILABLE);
                    ctx.result(isReady ? "ready\n" : "not ready\n");
                  });
              config.routes.get(
                  "/metrics",
                  ctx ->
                      ctx.contentType("text/plain; version=0.0.4")
                          .result(metrics.toPrometheusText()));
              more.accept(config);
            })
        .start(host, port);
  }
}
