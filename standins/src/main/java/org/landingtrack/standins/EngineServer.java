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
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;

/**
 * HTTP server that stands in for a model engine. It has continuous batching with prefill and decode
 * times, a bounded prefix cache with events, load reports, resuming and cancelling of streams,
 * export and import of KV cache blocks, and weight load orders with fencing by epoch.
 *
 * <p>Faults, see {@link Faults}:
 *
 * <ul>
 *   <li>{@code refuse}: rejects completions with 503 before they run.
 *   <li>{@code leaving}: rejects completions as a server that is shutting down.
 *   <li>{@code slowMs}: adds this time to each prefill.
 *   <li>{@code cutAfter}: closes the connection after this many tokens, while the run continues.
 *       Needs {@code cutOnce}.
 *   <li>{@code cutOnce}: the number of requests that {@code cutAfter} applies to.
 *   <li>{@code failRun}: ends runs with an error.
 *   <li>{@code wrongAttempt}: the number of events that name another attempt.
 *   <li>{@code missToken}: the number of streams that lack the token at offset 2.
 *   <li>{@code noEndMark}: the number of streams that end without {@code [DONE]}.
 *   <li>{@code eventLagMs}: delay of cache events.
 *   <li>{@code dropEvents}: the number of coming cache events that each clear the event log.
 *   <li>{@code failExportAfter}: makes exports fail after this many blocks.
 *   <li>{@code skipChecks}: imports blocks without verifying them.
 *   <li>{@code loadLag}: omits the load from answers.
 * </ul>
 */
public final class EngineServer implements AutoCloseable {
  private static final int BYTES_PER_TOKEN = 4;
  private static final int BLOCK_TOKENS = 512;
  private static final long ACCEPTED_PIN_MS = 5_000;
  private static final long STREAM_RETENTION_MS = 20_000;

  private final EngineOptions options;
  private final Faults faults = new Faults();
  private final EventLog events = new EventLog(faults);
  private final BlockCache cache;
  private final WeightStore weightStore;
  private final KvTransfer transfer;
  private final Map<String, EngineStream> streams = new ConcurrentHashMap<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final ExecutorService executor =
      Executors.newCachedThreadPool(BoundedWorker.daemonThreadFactory("engine"));
  private final Semaphore batchSlots;
  private final ReentrantLock prefill = new ReentrantLock(true);
  private final AtomicLong queuedTokens = new AtomicLong();
  private final AtomicInteger runningRequests = new AtomicInteger();
  private final AtomicInteger queuedRequests = new AtomicInteger();
  private final AtomicInteger staleOrders = new AtomicInteger();
  private final AtomicLong promptTokens = new AtomicLong();
  private final AtomicLong cachedTokens = new AtomicLong();
  private final StreamWriter streamWriter = new StreamWriter(faults, queuedTokens, runningRequests);
  private final Javalin http;
  private volatile String weightVersion;
  private volatile boolean loading;
  private long highestEpoch;

  /** Starts an engine on a port; 0 selects a free one. */
  public EngineServer(int port, EngineOptions options, WeightStore weightStore) {
    this.options = options;
    this.weightStore = weightStore;
    this.cache = new BlockCache(options.cacheBlocks(), events);
    this.transfer = new KvTransfer(cache, faults, options.kvBytesPerToken() * BLOCK_TOKENS);
    this.batchSlots = new Semaphore(options.maxConcurrent(), true);
    this.weightVersion = options.weightVersion();
    this.http =
        StandinHttp.start(
            port,
            config -> {
              faults.addRoute(config);
              config.routes.post("/v1/chat/completions", this::complete);
              config.routes.get("/v1/streams/{attempt}", this::resume);
              config.routes.delete("/v1/streams/{attempt}", this::cancel);
              config.routes.get("/v1/cache/events", this::events);
              config.routes.get("/v1/cache", this::listCachedBlocks);
              config.routes.get("/v1/status", this::status);
              config.routes.post("/v1/orders/load", this::acceptLoadOrder);
              config.routes.post("/v1/kv/import", this::importBlocks);
              config.routes.post("/v1/kv/export", this::exportBlocks);
              config.routes.get("/runs", ctx -> ctx.json(runs));
            });
  }

  public int port() {
    return http.port();
  }

  public String address() {
    return "127.0.0.1:" + port();
  }

  public Faults faults() {
    return faults;
  }

  /** Returns how often each prompt ran, by the content of its last message. */
  public Map<String, Integer> runs() {
    return Map.copyOf(runs);
  }

  /** Returns how often a request would have reused a block of another weight version. */
  public int versionViolations() {
    return cache.versionViolations();
  }

  /** Returns how often a block was reused whose content does not match its key. */
  public int corruptBlocksUsed() {
    return cache.corruptBlocksUsed();
  }

  /** Returns how many orders with a stale epoch were accepted. */
  public int staleOrders() {
    return staleOrders.get();
  }

  public String weightVersion() {
    return weightVersion;
  }

  /**
   * Returns the number of prompt tokens so far, and how many of them came from the prefix cache.
   */
  public long[] promptTokenCounts() {
    return new long[] {promptTokens.get(), cachedTokens.get()};
  }

  private void complete(Context ctx) throws IOException, InterruptedException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    JsonNode extension = body.path("landingtrack");
    String requestedVersion = extension.path("weight_version").asText();
    if (faults.isOn("leaving")) {
      ctx.status(503).header("X-Not-Run", "true").header("X-Leaving", "true").result("leaving");
      return;
    }
    if (loading) {
      ctx.status(503).header("X-Not-Run", "true").header("X-Loading", "true").result("loading");
      return;
    }
    if (faults.isOn("refuse") || queuedRequests.get() >= options.maxQueued()) {
      ctx.status(503).header("X-Not-Run", "true").result("busy");
      return;
    }
    if (!requestedVersion.equals(weightVersion)) {
      ObjectNode conflict = Json.LENIENT.createObjectNode();
      conflict.put("weight_version", weightVersion);
      ctx.status(409).header("X-Not-Run", "true").result(conflict.toString());
      return;
    }
    String attempt = extension.path("attempt").asText();
    int startOffset = extension.path("resume_offset").asInt(0);
    EngineStream stream = new EngineStream(attempt, startOffset);
    streams.put(attempt, stream);
    removeExpiredStreams();
    List<String> keys = new ArrayList<>();
    extension.path("cache_keys").forEach(key -> keys.add(key.asText()));
    // Keeps the blocks that a queued request can reuse from being evicted by requests before it.
    cache.pin(keys, ACCEPTED_PIN_MS);
    queuedRequests.incrementAndGet();
    executor.execute(() -> run(stream, body, keys, requestedVersion, startOffset));
    streamWriter.writeStream(ctx, stream, startOffset);
  }

  private void removeExpiredStreams() {
    long cutoffMs = Ticker.SYSTEM.millis() - STREAM_RETENTION_MS;
    streams.values().removeIf(stream -> stream.endedBefore(cutoffMs));
  }

  private void run(
      EngineStream stream, JsonNode body, List<String> keys, String version, int startOffset) {
    boolean inBatch = false;
    try {
      batchSlots.acquire();
      inBatch = true;
      queuedRequests.decrementAndGet();
      runningRequests.incrementAndGet();
      String prompt = prompt(body);
      if (!prefill(stream, prompt, keys, version)) {
        return;
      }
      decode(stream, prompt, version, startOffset, body.path("max_tokens").asInt(16));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      if (inBatch) {
        runningRequests.decrementAndGet();
        batchSlots.release();
      }
      if (!stream.isComplete()) {
        stream.end(stream.error().isEmpty() ? "ended" : stream.error());
      }
    }
  }

  private static String prompt(JsonNode body) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : body.path("messages")) {
      prompt.append('<').append(message.path("role").asText()).append('>');
      prompt.append(message.path("content").asText()).append('\n');
    }
    return prompt.toString();
  }

  private static String lastMessage(String prompt) {
    int end = prompt.length() - 1;
    int start = prompt.lastIndexOf('>', end);
    return prompt.substring(start + 1, Math.max(start + 1, end));
  }

  private boolean prefill(EngineStream stream, String prompt, List<String> keys, String version) {
    int tokens = Math.max(1, prompt.length() / BYTES_PER_TOKEN);
    queuedTokens.addAndGet(tokens);
    prefill.lock();
    try {
      int reused = Math.min(tokens - 1, cache.reuse(keys, version) * BLOCK_TOKENS);
      if (!stream.start(tokens, reused)) {
        return false;
      }
      runs.merge(lastMessage(prompt), 1, Integer::sum);
      Faults.sleep((long) ((tokens - reused) * options.prefillMsPerToken() + faults.get("slowMs")));
      cache.put(keys, version);
      promptTokens.addAndGet(tokens);
      cachedTokens.addAndGet(reused);
    } finally {
      prefill.unlock();
      queuedTokens.addAndGet(-tokens);
    }
    return true;
  }

  /**
   * Returns the token of an answer at an offset. It depends only on prompt, weight version and
   * offset, so that tests can verify a resumed answer. The first token holds the last message.
   */
  public static String token(String prompt, String version, int offset) {
    if (offset == 0) {
      return "[" + lastMessage(prompt) + "]";
    }
    long hash = Hashes.placement(prompt + version, Integer.toString(offset));
    return " " + Long.toString(hash & 0xffff, 36);
  }

  private void decode(
      EngineStream stream, String prompt, String version, int startOffset, int maxTokens) {
    for (int i = startOffset; i < maxTokens; i++) {
      if (faults.isOn("failRun")) {
        stream.end("fault failRun: the run failed");
        return;
      }
      if (i > startOffset) {
        Faults.sleep((long) options.decodeMs());
      }
      if (!stream.add(token(prompt, version, i))) {
        return;
      }
    }
    stream.end("");
  }

  private void resume(Context ctx) throws IOException, InterruptedException {
    EngineStream stream = streams.get(ctx.pathParam("attempt"));
    if (stream == null) {
      ctx.status(404).result("no stream for this attempt");
      return;
    }
    streamWriter.writeStream(ctx, stream, Integer.parseInt(param(ctx, "from", "0")));
  }

  private void cancel(Context ctx) {
    EngineStream stream = streams.get(ctx.pathParam("attempt"));
    boolean ran = stream != null && stream.cancel();
    ctx.result("{\"ran\":" + ran + "}");
  }

  private void events(Context ctx) throws InterruptedException {
    long waitMs = Math.min(10_000, Long.parseLong(param(ctx, "waitMs", "0")));
    ObjectNode body = events.eventsAfter(Long.parseLong(param(ctx, "after", "0")), waitMs);
    body.put("weight_version", weightVersion);
    ctx.contentType("application/json").result(body.toString());
  }

  private void listCachedBlocks(Context ctx) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("sequence", events.sequence());
    body.put("weight_version", weightVersion);
    ArrayNode list = body.putArray("events");
    cache.appendEvents(list);
    ctx.contentType("application/json").result(body.toString());
  }

  private void status(Context ctx) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("weight_version", weightVersion);
    body.put("loading", loading);
    body.put("running", runningRequests.get());
    ctx.contentType("application/json").result(body.toString());
  }

  private synchronized void acceptLoadOrder(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    long epoch = body.path("epoch").asLong();
    if (epoch < highestEpoch) {
      if (options.checksFences()) {
        ctx.status(412)
            .result("stale epoch: an order with epoch " + highestEpoch + " was already accepted");
        return;
      }
      staleOrders.incrementAndGet();
    }
    highestEpoch = Math.max(highestEpoch, epoch);
    String version = body.path("weight_version").asText();
    if (!loading && !version.equals(weightVersion)) {
      loading = true;
      executor.execute(() -> loadWeights(version));
    }
    ctx.result("{}");
  }

  private void loadWeights(String version) {
    weightStore.load(options.loadMs());
    cache.clear();
    weightVersion = version;
    loading = false;
  }

  private void importBlocks(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    long bytes = transfer.importBlocks(body, weightVersion);
    if (bytes < 0) {
      ctx.status(502)
          .result("the blocks could not be read from the store VM, or failed verification");
      return;
    }
    ctx.contentType("application/json").result("{\"bytes\":" + bytes + "}");
  }

  private void exportBlocks(Context ctx) throws IOException {
    @Nullable ObjectNode written = transfer.exportBlocks(Json.LENIENT.readTree(ctx.body()));
    if (written == null) {
      ctx.status(502)
          .result("the export failed: a block is not cached, or the store VM rejected it");
      return;
    }
    ctx.contentType("application/json").result(written.toString());
  }

  private static String param(Context ctx, String name, String fallback) {
    String value = ctx.queryParam(name);
    return value == null ? fallback : value;
  }

  @Override
  public void close() {
    executor.shutdownNow();
    http.stop();
  }
}
