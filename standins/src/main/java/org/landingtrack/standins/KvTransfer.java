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
 * Exports KV cache blocks of an engine to a store VM and imports them from there. The content of a
 * block is a short text derived from its key, and its size on the link is only a number, so that no
 * real gigabytes are sent over the loopback interface. Thread-safe.
 */
final class KvTransfer {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final BlockCache cache;
  private final Faults faults;
  private final int blockBytes;
  private final AtomicInteger rejectedImports = new AtomicInteger();
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

  /** Returns the content that the block of a key must have. */
  static String content(String key) {
    return "state-of-" + key;
  }

  static String checksum(String content) {
    return Hashes.sha256Hex(content).substring(0, 16);
  }

  /**
   * Reads the missing blocks of an order from a store VM and adds them to the cache. Returns their
   * nominal size in bytes, or -1 if they could not be read or failed verification.
   */
  long importBlocks(JsonNode order, String weightVersion) {
    String storeAddress = order.path("store").asText();
    String manifest = order.path("manifest").asText();
    List<String> keys = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (JsonNode key : order.path("keys")) {
      keys.add(key.asText());
      if (!cache.contains(key.asText())) {
        missing.add(key.asText());
      }
    }
    ObjectNode readRequest = Json.LENIENT.createObjectNode();
    missing.forEach(readRequest.putArray("keys")::add);
    JsonNode answer =
        post("http://" + storeAddress + "/v1/manifests/" + manifest + "/read", readRequest);
    if (answer == null || (!faults.isOn("skipChecks") && !isValid(answer, missing))) {
      rejectedImports.incrementAndGet();
      return -1;
    }
    cache.put(keys, weightVersion, corruptKeys(answer));
    cache.pin(keys, order.path("pin_ms").asLong(0));
    return (long) missing.size() * blockBytes;
  }

  /** Returns the keys of the blocks whose content does not match their key. */
  private static Set<String> corruptKeys(JsonNode answer) {
    Set<String> corrupt = new HashSet<>();
    for (JsonNode block : answer.path("blocks")) {
      String key = block.path("key").asText();
      if (!block.path("content").asText().equals(content(key))) {
        corrupt.add(key);
      }
    }
    return corrupt;
  }

  /**
   * Returns true if all requested blocks were read with the right checksum and content, and if
   * their manifest was still published after the read.
   */
  private boolean isValid(JsonNode answer, List<String> requestedKeys) {
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
    return found == requestedKeys.size();
  }

  /**
   * Writes the blocks of an order to a store VM, one after another. Returns their checksums and the
   * nominal bytes that were sent (none for blocks that were stored already), or null if a block is
   * not cached or could not be written.
   */
  @Nullable ObjectNode exportBlocks(JsonNode order) {
    String storeAddress = order.path("store").asText();
    ObjectNode result = Json.LENIENT.createObjectNode();
    ArrayNode blocks = result.putArray("blocks");
    long bytes = 0;
    int written = 0;
    for (JsonNode node : order.path("keys")) {
      String key = node.asText();
      boolean fails = faults.isOn("failExportAfter") && written >= faults.get("failExportAfter");
      if (fails || !cache.contains(key)) {
        return null;
      }
      ObjectNode block = Json.LENIENT.createObjectNode();
      block.put("key", key).put("content", content(key)).put("bytes", blockBytes);
      JsonNode answer = post("http://" + storeAddress + "/v1/blocks", block);
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
