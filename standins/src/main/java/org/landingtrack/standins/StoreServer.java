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
 * A store VM: blocks in a memory and a disk tier behind a limited link, and manifests that make
 * them readable.
 *
 * <p>Faults: {@code full}, {@code partialWrite} (so many blocks are cut short but acknowledged),
 * {@code slowLink} (divides the link's speed), {@code freeWhileRead} (so many reads see their
 * manifest withdrawn half-way), {@code eventLagMs}, {@code dropEvents}.
 */
public final class StoreServer implements AutoCloseable {
  private record Block(String content, long bytes, boolean inMemory) {}

  private record BlockName(String key, String checksum) {}

  private record Manifest(
      String id, String group, List<BlockName> blocks, long bytes, AtomicLong lastReadMs) {}

  /**
   * What a store VM is like.
   *
   * @param linkBytesPerMs speed of its link, shared by all moves
   * @param diskBytesPerMs speed of the disk tier
   */
  public record Options(
      long capacityBytes, long memoryBytes, double linkBytesPerMs, double diskBytesPerMs) {}

  private final Options options;
  private final Faults faults = new Faults();
  private final EventLog events = new EventLog(faults);
  private final Map<String, Block> blocks = new LinkedHashMap<>();
  private final Map<String, Manifest> manifests = new LinkedHashMap<>();
  private final ReentrantLock link = new ReentrantLock(true);
  private final AtomicLong linkBytes = new AtomicLong();
  private final Javalin http;
  private long usedBytes;
  private long memoryUsed;

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
              config.routes.get("/v1/fill", this::fill);
              config.routes.get("/v1/cache/events", this::events);
              config.routes.get("/v1/cache", this::listing);
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

  /** Returns the bytes that went over the link so far. */
  public long linkBytes() {
    return linkBytes.get();
  }

  /** Returns the number of published manifests. */
  public synchronized int manifestCount() {
    return manifests.size();
  }

  private void move(long bytes, boolean fromDisk) {
    link.lock();
    try {
      double speed = options.linkBytesPerMs() / Math.max(1, faults.of("slowLink"));
      double ms = bytes / speed + (fromDisk ? bytes / options.diskBytesPerMs() : 0);
      Faults.pause((long) ms);
      linkBytes.addAndGet(bytes);
    } finally {
      link.unlock();
    }
  }

  private void writeBlock(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    String key = body.path("key").asText();
    long bytes = body.path("bytes").asLong();
    synchronized (this) {
      if (blocks.containsKey(key) && !faults.on("partialWrite")) {
        ctx.result("{\"moved\":0}");
        return;
      }
      if (faults.on("full") || usedBytes + bytes > options.capacityBytes()) {
        ctx.status(507).result("full");
        return;
      }
    }
    move(bytes, false);
    String content = body.path("content").asText();
    if (faults.takeOne("partialWrite")) {
      content = content.substring(0, content.length() / 2);
    }
    synchronized (this) {
      boolean inMemory = memoryUsed + bytes <= options.memoryBytes();
      if (blocks.put(key, new Block(content, bytes, inMemory)) == null) {
        usedBytes += bytes;
        memoryUsed += inMemory ? bytes : 0;
      }
    }
    ctx.result("{\"moved\":" + bytes + "}");
  }

  private synchronized void publish(Context ctx) throws IOException {
    JsonNode body = Json.LENIENT.readTree(ctx.body());
    String id = ctx.pathParam("id");
    List<BlockName> names = new ArrayList<>();
    long bytes = 0;
    for (JsonNode node : body.path("blocks")) {
      BlockName name = new BlockName(node.path("key").asText(), node.path("checksum").asText());
      Block block = blocks.get(name.key());
      if (block == null) {
        ctx.status(409).result("block " + name.key() + " is not here");
        return;
      }
      names.add(name);
      bytes += block.bytes();
    }
    String group = body.path("group").asText();
    manifests.put(id, new Manifest(id, group, names, bytes, new AtomicLong(now())));
    names.forEach(name -> events.add(group, name.key(), id, true));
    ctx.result("{}");
  }

  private synchronized void withdraw(Context ctx) {
    remove(ctx.pathParam("id"));
    ctx.result("{}");
  }

  private synchronized void remove(String id) {
    Manifest manifest = manifests.remove(id);
    if (manifest == null) {
      return;
    }
    manifest.blocks().forEach(name -> events.add(manifest.group(), name.key(), id, false));
    for (BlockName name : manifest.blocks()) {
      if (!isReferenced(name.key())) {
        Block freed = blocks.remove(name.key());
        if (freed != null) {
          usedBytes -= freed.bytes();
          memoryUsed -= freed.inMemory() ? freed.bytes() : 0;
        }
      }
    }
  }

  private boolean isReferenced(String key) {
    for (Manifest manifest : manifests.values()) {
      for (BlockName name : manifest.blocks()) {
        if (name.key().equals(key)) {
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
        ctx.status(404).result("no such manifest");
        return;
      }
      manifest.lastReadMs().set(now());
      ArrayNode out = answer.putArray("blocks");
      for (JsonNode wanted : Json.LENIENT.readTree(ctx.body()).path("keys")) {
        for (BlockName name : manifest.blocks()) {
          Block block = blocks.get(name.key());
          if (block != null && name.key().equals(wanted.asText())) {
            out.addObject()
                .put("key", name.key())
                .put("content", block.content())
                .put("checksum", name.checksum());
            bytes += block.bytes();
            fromDisk |= !block.inMemory();
          }
        }
      }
    }
    move(bytes, fromDisk);
    if (faults.takeOne("freeWhileRead")) {
      remove(id);
    }
    synchronized (this) {
      answer.put("still_published", manifests.containsKey(id));
    }
    ctx.contentType("application/json").result(answer.toString());
  }

  private synchronized void listManifests(Context ctx) {
    List<Manifest> ordered = new ArrayList<>(manifests.values());
    ordered.sort(Comparator.comparingLong(manifest -> manifest.lastReadMs().get()));
    ObjectNode body = Json.LENIENT.createObjectNode();
    ArrayNode list = body.putArray("manifests");
    for (Manifest manifest : ordered) {
      list.addObject()
          .put("id", manifest.id())
          .put("group", manifest.group())
          .put("bytes", manifest.bytes())
          .put("last_read_ms", manifest.lastReadMs().get());
    }
    ctx.contentType("application/json").result(body.toString());
  }

  private synchronized void fill(Context ctx) {
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
    ObjectNode body = events.after(Long.parseLong(param(ctx, "after", "0")), waitMs);
    ctx.contentType("application/json").result(body.toString());
  }

  private synchronized void listing(Context ctx) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("sequence", events.sequence());
    ArrayNode list = body.putArray("events");
    for (Manifest manifest : manifests.values()) {
      for (BlockName name : manifest.blocks()) {
        EventLog.add(list, manifest.group(), name.key(), manifest.id(), true);
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
