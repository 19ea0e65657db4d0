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
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;

/**
 * An engine's side of moving kept state. A block's content stands for its key here; its size on the
 * link is a number, so that no real gigabytes go over loopback.
 */
final class KvTransfer {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final BlockCache cache;
  private final Faults faults;
  private final int blockBytes;
  private final AtomicInteger refusedBlocks = new AtomicInteger();
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(30, TimeUnit.SECONDS)
          .readTimeout(30, TimeUnit.SECONDS)
          .build();

  KvTransfer(BlockCache cache, Faults faults, int blockBytes) {
    this.cache = cache;
    this.faults = faults;
    this.blockBytes = blockBytes;
  }

  static String content(String key) {
    return "state-of-" + key;
  }

  static String checksum(String content) {
    return Hashes.sha256Hex(content).substring(0, 16);
  }

  /** Returns the nominal bytes that were moved; -1 if nothing could be used. */
  long importKept(JsonNode order, String weightVersion) {
    String store = order.path("store").asText();
    String manifest = order.path("manifest").asText();
    List<String> keys = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (JsonNode key : order.path("keys")) {
      keys.add(key.asText());
      if (!cache.holds(key.asText())) {
        missing.add(key.asText());
      }
    }
    ObjectNode ask = Json.LENIENT.createObjectNode();
    missing.forEach(ask.putArray("keys")::add);
    JsonNode answer = post("http://" + store + "/v1/manifests/" + manifest + "/read", ask);
    if (answer == null || (!faults.on("skipChecks") && !isWhole(answer, missing))) {
      refusedBlocks.incrementAndGet();
      return -1;
    }
    cache.put(keys, weightVersion, broken(answer));
    cache.pin(keys, order.path("pin_ms").asLong(0));
    return (long) missing.size() * blockBytes;
  }

  private static Set<String> broken(JsonNode answer) {
    Set<String> broken = new HashSet<>();
    for (JsonNode block : answer.path("blocks")) {
      String key = block.path("key").asText();
      if (!block.path("content").asText().equals(content(key))) {
        broken.add(key);
      }
    }
    return broken;
  }

  /** Every block is checked after reading: its checksum, and that the manifest still stands. */
  private boolean isWhole(JsonNode answer, List<String> wanted) {
    if (!answer.path("still_published").asBoolean()) {
      return false;
    }
    int found = 0;
    for (JsonNode block : answer.path("blocks")) {
      if (!checksum(block.path("content").asText()).equals(block.path("checksum").asText())
          || !block.path("content").asText().equals(content(block.path("key").asText()))) {
        return false;
      }
      found++;
    }
    return found == wanted.size();
  }

  /** Writes blocks one after another; null if one did not arrive. */
  @Nullable ObjectNode exportKept(JsonNode order) {
    String store = order.path("store").asText();
    ObjectNode result = Json.LENIENT.createObjectNode();
    ArrayNode blocks = result.putArray("blocks");
    long bytes = 0;
    int written = 0;
    for (JsonNode node : order.path("keys")) {
      String key = node.asText();
      boolean dies = faults.on("failExportAfter") && written >= faults.of("failExportAfter");
      if (dies || !cache.holds(key)) {
        return null;
      }
      ObjectNode block = Json.LENIENT.createObjectNode();
      block.put("key", key).put("content", content(key)).put("bytes", blockBytes);
      JsonNode answer = post("http://" + store + "/v1/blocks", block);
      if (answer == null) {
        return null;
      }
      blocks.addObject().put("key", key).put("checksum", checksum(content(key)));
      bytes += answer.path("moved").asLong();
      written++;
    }
    return result.put("bytes", bytes);
  }

  private @Nullable JsonNode post(String url, ObjectNode body) {
    Request request =
        new Request.Builder().url(url).post(RequestBody.create(body.toString(), JSON_TYPE)).build();
    try (Response response = client.newCall(request).execute()) {
      return response.isSuccessful() ? Json.LENIENT.readTree(response.body().string()) : null;
    } catch (IOException e) {
      return null;
    }
  }
}
