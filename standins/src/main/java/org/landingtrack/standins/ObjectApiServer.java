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

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.platform.CallBudget;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;

/**
 * HTTP server that stands in for the platform's Object API, with its rate limits for reads and
 * writes. The objects are in an {@link ObjectStore}.
 *
 * <p>Faults, see {@link Faults}:
 *
 * <ul>
 *   <li>{@code out}: answers every call with 503.
 *   <li>{@code slowMs}: delay before each call.
 *   <li>{@code lostAnswers}: the number of writes that take effect but are answered with 504.
 *   <li>{@code tooOld}: the number of watches that are answered as if their changes were gone.
 * </ul>
 */
public final class ObjectApiServer implements AutoCloseable {
  private static final double READS_PER_SECOND = 2_000;
  private static final double WRITES_PER_SECOND = 100;
  private static final int LOG_SIZE = 10_000;
  private static final int MAX_PAGE_SIZE = 1_000;

  private final ObjectStore store = new ObjectStore(LOG_SIZE);
  private final Faults faults = new Faults();
  private final CallBudget reads = new CallBudget(Ticker.SYSTEM, READS_PER_SECOND);
  private final CallBudget writes = new CallBudget(Ticker.SYSTEM, WRITES_PER_SECOND);
  private final AtomicLong readCalls = new AtomicLong();
  private final AtomicLong writeCalls = new AtomicLong();
  private final Javalin http;

  /** Starts the server on a port; 0 selects a free one. */
  public ObjectApiServer(int port) {
    this.http =
        StandinHttp.start(
            port,
            config -> {
              faults.addRoute(config);
              config.routes.get("/objects", ctx -> runWithLimits(ctx, reads, this::list));
              config.routes.get("/objects/<key>", ctx -> runWithLimits(ctx, reads, this::read));
              config.routes.put("/objects/<key>", ctx -> runWithLimits(ctx, writes, this::write));
              config.routes.get("/watch", ctx -> runWithLimits(ctx, reads, this::watch));
              config.routes.get(
                  "/calls",
                  ctx ->
                      ctx.result(
                          "{\"reads\":"
                              + readCalls.get()
                              + ",\"writes\":"
                              + writeCalls.get()
                              + "}"));
            });
  }

  public int port() {
    return http.port();
  }

  public String url() {
    return "http://127.0.0.1:" + port();
  }

  public Faults faults() {
    return faults;
  }

  public ObjectStore store() {
    return store;
  }

  /** Returns the numbers of reads (with lists and watches) and of writes so far. */
  public long[] callCounts() {
    return new long[] {readCalls.get(), writeCalls.get()};
  }

  /** An operation of the API. */
  private interface Operation {
    void run(Context ctx) throws InterruptedException;
  }

  /** Runs an operation under the rate limit of its kind of call, with the faults that are on. */
  private void runWithLimits(Context ctx, CallBudget budget, Operation operation)
      throws InterruptedException {
    (budget == reads ? readCalls : writeCalls).incrementAndGet();
    faults.sleepFor("slowMs");
    if (faults.isOn("out")) {
      ctx.status(503).result("out");
      return;
    }
    if (!budget.tryAcquire(CallClass.LEASE)) {
      ctx.status(429).result("the rate limit for calls is exceeded");
      return;
    }
    try {
      operation.run(ctx);
    } catch (PlatformException e) {
      respondWithError(ctx, e);
    }
  }

  private static void respondWithError(Context ctx, PlatformException e) {
    switch (e.reason()) {
      case CONFLICT -> ctx.status(409).result("{\"version\":" + e.currentVersion() + "}");
      case TOO_OLD -> ctx.status(410).result("{}");
      default -> ctx.status(400).result("{}");
    }
  }

  private void read(Context ctx) {
    Optional<StoredObject> found = store.read(ctx.pathParam("key"));
    if (found.isEmpty()) {
      ctx.status(404).result("{}");
      return;
    }
    ctx.contentType("application/json").result(toJson(found.get()).toString());
  }

  private void list(Context ctx) {
    int limit = Math.min(MAX_PAGE_SIZE, Integer.parseInt(param(ctx, "limit", "100")));
    Listing listing = store.list(param(ctx, "prefix", ""), param(ctx, "after", ""), limit);
    ctx.contentType("application/json").result(toJson(listing).toString());
  }

  private void watch(Context ctx) throws InterruptedException {
    if (faults.tryConsume("tooOld")) {
      ctx.status(410).result("{}");
      return;
    }
    long after = Long.parseLong(param(ctx, "after", "0"));
    long waitMs = Math.min(30_000, Long.parseLong(param(ctx, "waitMs", "0")));
    Listing listing = store.watch(param(ctx, "prefix", ""), after, waitMs);
    if (faults.isOn("out")) {
      ctx.status(503).result("out");
      return;
    }
    ctx.contentType("application/json").result(toJson(listing).toString());
  }

  private void write(Context ctx) {
    long expected = Long.parseLong(param(ctx, "ifVersion", "0"));
    StoredObject written = store.write(ctx.pathParam("key"), ctx.body(), expected);
    if (faults.tryConsume("lostAnswers")) {
      respondWithTimeout(ctx);
      return;
    }
    ObjectNode node = Json.LENIENT.createObjectNode();
    node.put("version", written.version());
    node.put("revision", written.revision());
    ctx.contentType("application/json").result(node.toString());
  }

  /** Answers with a status that leaves open whether the write took effect. */
  private static void respondWithTimeout(Context ctx) {
    ctx.status(504).result("");
  }

  private static String param(Context ctx, String name, String fallback) {
    String value = ctx.queryParam(name);
    return value == null ? fallback : value;
  }

  private static ObjectNode toJson(Listing listing) {
    ObjectNode node = Json.LENIENT.createObjectNode();
    node.put("revision", listing.revision());
    var array = node.putArray("objects");
    listing.objects().forEach(object -> array.add(toJson(object)));
    return node;
  }

  private static ObjectNode toJson(StoredObject object) {
    ObjectNode node = Json.LENIENT.createObjectNode();
    node.put("key", object.key());
    node.put("version", object.version());
    node.put("revision", object.revision());
    node.put("value", object.value());
    return node;
  }

  @Override
  public void close() {
    http.stop();
  }
}
