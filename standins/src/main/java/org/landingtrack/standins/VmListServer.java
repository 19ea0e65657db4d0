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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;

/**
 * HTTP server that stands in for the platform's VM list. {@code PUT /vms} sets the list. The fault
 * {@code lagMs} delays when a new list becomes visible; the fault {@code out} answers reads with
 * 503.
 */
public final class VmListServer implements AutoCloseable {
  private static final int MAX_HISTORY = 1_000;

  /** A list and the time at which it was set. */
  private record Snapshot(long atMs, JsonNode vms) {}

  private final Deque<Snapshot> history = new ArrayDeque<>();
  private final Faults faults = new Faults();
  private final Javalin http;

  /** Starts the server with an empty list on a port; 0 selects a free one. */
  public VmListServer(int port) {
    set(Json.LENIENT.createArrayNode());
    this.http =
        StandinHttp.start(
            port,
            config -> {
              faults.addRoute(config);
              config.routes.get("/vms", this::get);
              config.routes.put("/vms", this::put);
            });
  }

  public int port() {
    return http.port();
  }

  public String url() {
    return "http://127.0.0.1:" + port() + "/vms";
  }

  public Faults faults() {
    return faults;
  }

  /** Sets the list; it becomes visible after the lag. */
  public synchronized void set(ArrayNode vms) {
    history.addLast(new Snapshot(Ticker.SYSTEM.millis(), vms));
    if (history.size() > MAX_HISTORY) {
      history.removeFirst();
    }
  }

  private void put(Context ctx) {
    try {
      set((ArrayNode) Json.LENIENT.readTree(ctx.body()).path("vms"));
    } catch (com.fasterxml.jackson.core.JsonProcessingException | ClassCastException e) {
      ctx.status(400).result("the field vms must be a list of VMs");
    }
  }

  private synchronized void get(Context ctx) {
    if (faults.isOn("out")) {
      ctx.status(503);
      return;
    }
    long visibleUntilMs = Ticker.SYSTEM.millis() - (long) faults.get("lagMs");
    JsonNode vms = history.getFirst().vms;
    for (Snapshot snapshot : history) {
      if (snapshot.atMs <= visibleUntilMs) {
        vms = snapshot.vms;
      }
    }
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.set("vms", vms);
    ctx.contentType("application/json").result(body.toString());
  }

  @Override
  public void close() {
    http.stop();
  }
}
