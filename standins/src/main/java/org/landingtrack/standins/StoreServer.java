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
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;

/**
 * HTTP server that stands in for a store VM. It stores KV cache blocks in a memory tier and a disk
 * tier behind a link of limited bandwidth. Blocks can be read once a published manifest lists them,
 * and are deleted when the last manifest that lists them is withdrawn.
 *
 * <p>Faults, see {@link Faults}:
 *
 * <ul>
 *   <li>{@code full}: rejects writes with 507.
 *   <li>{@code partialWrite}: the number of writes that store half a block but are acknowledged.
 *   <li>{@code slowLink}: divides the bandwidth of the link by this value.
 *   <li>{@code freeWhileRead}: the number of reads during which the manifest is withdrawn.
 *   <li>{@code eventLagMs}: delay of block events.
 *   <li>{@code dropEvents}: the number of coming block events that each clear the event log.
 * </ul>
 */
public final class StoreServer implements AutoCloseable {
  private record Block(String content, long bytes, boolean inMemory) {}

  /** A block of a manifest with the checksum that its content must have. */
  private record BlockRef(String key, String checksum) {}

  private record Manifest(
      String id, String group, List<BlockRef> blocks, long bytes, AtomicLong lastReadMs) {}

  /**
   * Settings of a {@link StoreServer}.
   *
   * @param capacityBytes capacity of both tiers together
   * @param memoryBytes capacity of the memory tier
   * @param linkBytesPerMs bandwidth of its link, shared by all transfers
   * @param diskBytesPerMs read bandwidth of the disk tier
   */
  public record Options(
      long capacityBytes, long memoryBytes, double linkBytesPerMs, double diskBytesPerMs) {}

  private final Options options;
  private final Faults faults = new Faults();
  private final EventLog events = new EventLog(faults);
  private final Map<String, Block> blocks = new LinkedHashMap<>();
  private final Map<String, Manifest> manifests = new LinkedHashMap<>();
  private final ReentrantLock linkLock = new ReentrantLock(true);
  private final AtomicLong linkBytes = new AtomicLong();
  private final Javalin http;
  private long usedBytes;
  private long usedMemoryBytes;

  /** Starts the server on a port; 0 selects a free one. */
  public StoreServer(int port, Options options) {
    this.options = options;
    this.http =
        StandinHttp.start(
            port,
            config -> {
              faults.addRoute(config);
              config.routes.post("/v1/blocks", this::writeBlock);
              config.routes.put("/v1/manifests/{id}", this::publish);
              config.routes.delete("/v1/manifests/{id}", this::withdraw);
              config.routes.post("/v1/manifests/{id}/read", this::read);
              config.routes.get("/v1/manifests", this::listManifests);
              config.routes.get("/v1/fill", this::reportUsage);
              config.routes.get("/v1/cache/events", this::events);
              config.routes.get("/v1/cache", this::listBlocks);
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

  /** Returns the nominal bytes transferred over the link so far. */
  public long linkBytes() {
    return linkBytes.get();
  }

  /** Returns the number of published manifests. */
  public synchronized int manifestCount() {
    return manifests.size();
  }

  /** Takes as long as the transfer of this many bytes takes; transfers run one after another. */
  private void transfer(long bytes, boolean fromDisk) {
    linkLock.lock();
    try {
      double speed = options.linkBytesPerMs() / Math.max(1, faults.get("slowLink"));
      double durationMs = bytes / speed + (fromDisk ? bytes / options.diskBytesPerMs() : 0);
      Faults.sleep((long) durationMs);
      linkBytes.addAndGet(bytes);
    } finally {
      linkLock.unlock();
    }
  }

  private void writeBlock(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    String key = body.path("key").asText();
    long bytes = body.path("bytes").asLong();
    synchronized (this) {
      if (blocks.containsKey(key) && !faults.isOn("partialWrite")) {
        ctx.result("{\"moved\":0}");
        return;
      }
      if (faults.isOn("full") || usedBytes + bytes > options.capacityBytes()) {
        ctx.status(507).result("full");
        return;
      }
    }
    transfer(bytes, false);
    String content = body.path("content").asText();
    if (faults.tryConsume("partialWrite")) {
      content = content.substring(0, content.length() / 2);
    }
    synchronized (this) {
      boolean inMemory = usedMemoryBytes + bytes <= options.memoryBytes();
      if (blocks.put(key, new Block(content, bytes, inMemory)) == null) {
        usedBytes += bytes;
        usedMemoryBytes += inMemory ? bytes : 0;
      }
    }
    ctx.result("{\"moved\":" + bytes + "}");
  }

  /** Makes blocks readable under a manifest; fails with 409 if one of them is not stored. */
  private synchronized void publish(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    String id = ctx.pathParam("id");
    List<BlockRef> refs = new ArrayList<>();
    long bytes = 0;
    for (JsonNode node : body.path("blocks")) {
      BlockRef ref = new BlockRef(node.path("key").asText(), node.path("checksum").asText());
      Block block = blocks.get(ref.key());
      if (block == null) {
        ctx.status(409).result("block " + ref.key() + " is not stored");
        return;
      }
      refs.add(ref);
      bytes += block.bytes();
    }
    String group = body.path("group").asText();
    manifests.put(id, new Manifest(id, group, refs, bytes, new AtomicLong(now())));
    refs.forEach(ref -> events.add(group, ref.key(), id, true));
    ctx.result("{}");
  }

  private synchronized void withdraw(Context ctx) {
    remove(ctx.pathParam("id"));
    ctx.result("{}");
  }

  /** Removes a manifest and the blocks that no other manifest refers to. */
  private synchronized void remove(String id) {
    Manifest manifest = manifests.remove(id);
    if (manifest == null) {
      return;
    }
    manifest.blocks().forEach(ref -> events.add(manifest.group(), ref.key(), id, false));
    for (BlockRef ref : manifest.blocks()) {
      if (!isReferenced(ref.key())) {
        Block removed = blocks.remove(ref.key());
        if (removed != null) {
          usedBytes -= removed.bytes();
          usedMemoryBytes -= removed.inMemory() ? removed.bytes() : 0;
        }
      }
    }
  }

  private boolean isReferenced(String key) {
    for (Manifest manifest : manifests.values()) {
      for (BlockRef ref : manifest.blocks()) {
        if (ref.key().equals(key)) {
          return true;
        }
      }
    }
    return false;
  }

  private void read(Context ctx) throws IOException {
    String id = ctx.pathParam("id");
    ObjectNode answer = Json.LENIENT.createObjectNode();
    long bytes = 0;
    boolean fromDisk = false;
    synchronized (this) {
      Manifest manifest = manifests.get(id);
      if (manifest == null) {
        ctx.status(404).result("no manifest with this id");
        return;
      }
      manifest.lastReadMs().set(now());
      ArrayNode out = answer.putArray("blocks");
      for (JsonNode requestedKey : Json.LENIENT.readTree(ctx.body()).path("keys")) {
        for (BlockRef ref : manifest.blocks()) {
          Block block = blocks.get(ref.key());
          if (block != null && ref.key().equals(requestedKey.asText())) {
            out.addObject()
                .put("key", ref.key())
                .put("content", block.content())
                .put("checksum", ref.checksum());
            bytes += block.bytes();
            fromDisk |= !block.inMemory();
          }
        }
      }
    }
    transfer(bytes, fromDisk);
    if (faults.tryConsume("freeWhileRead")) {
      remove(id);
    }
    synchronized (this) {
      answer.put("still_published", manifests.containsKey(id));
    }
    ctx.contentType("application/json").result(answer.toString());
  }

  /** Lists the manifests, the least recently read one first. */
  private synchronized void listManifests(Context ctx) {
    List<Manifest> sorted = new ArrayList<>(manifests.values());
    sorted.sort(Comparator.comparingLong(manifest -> manifest.lastReadMs().get()));
    ObjectNode body = Json.LENIENT.createObjectNode();
    ArrayNode list = body.putArray("manifests");
    for (Manifest manifest : sorted) {
      list.addObject()
          .put("id", manifest.id())
          .put("group", manifest.group())
          .put("bytes", manifest.bytes())
          .put("last_read_ms", manifest.lastReadMs().get());
    }
    ctx.contentType("application/json").result(body.toString());
  }

  private synchronized void reportUsage(Context ctx) {
    ctx.contentType("application/json")
        .result(
            "{\"used_bytes\":"
                + usedBytes
                + ",\"capacity_bytes\":"
                + options.capacityBytes()
                + "}");
  }

  private void events(Context ctx) throws InterruptedException {
    long waitMs = Math.min(10_000, Long.parseLong(param(ctx, "waitMs", "0")));
    ObjectNode body = events.eventsAfter(Long.parseLong(param(ctx, "after", "0")), waitMs);
    ctx.contentType("application/json").result(body.toString());
  }

  private synchronized void listBlocks(Context ctx) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("sequence", events.sequence());
    ArrayNode list = body.putArray("events");
    for (Manifest manifest : manifests.values()) {
      for (BlockRef ref : manifest.blocks()) {
        EventLog.add(list, manifest.group(), ref.key(), manifest.id(), true);
      }
    }
    ctx.contentType("application/json").result(body.toString());
  }

  private static String param(Context ctx, String name, String fallback) {
    String value = ctx.queryParam(name);
    return value == null ? fallback : value;
  }

  private static long now() {
    return Ticker.SYSTEM.millis();
  }

  @Override
  public void close() {
    http.stop();
  }
}
