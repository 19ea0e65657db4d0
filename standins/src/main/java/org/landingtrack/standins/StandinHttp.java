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
import io.javalin.config.JavalinConfig;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Starts the HTTP servers of the stand-ins, with one configuration for all. */
final class StandinHttp {
  private static final int MAX_THREADS = 400;

  private StandinHttp() {}

  /** Starts a server with the given routes on the loopback interface; port 0 selects a free one. */
  static Javalin start(int port, Consumer<JavalinConfig> routes) {
    return Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, 4);
              pool.setDaemon(true);
              pool.setStopTimeout(0);
              config.jetty.threadPool = pool;
              config.jetty.modifyServer(server -> server.setStopTimeout(0));
              config.http.maxRequestSize = 64L << 20;
              routes.accept(config);
            })
        .start("127.0.0.1", port);
  }
}
