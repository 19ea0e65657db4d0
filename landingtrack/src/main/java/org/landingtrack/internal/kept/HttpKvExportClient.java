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
package org.landingtrack.internal.kept;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.landingtrack.internal.base.Json;

/**
 * {@link KvExportClient} over HTTP with JSON bodies. A failed call or a status other than 2xx
 * yields an empty result. Thread-safe.
 */
public final class HttpKvExportClient implements KvExportClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final long CALL_TIMEOUT_MS = 2_000;

  private final OkHttpClient client = new OkHttpClient();

  @Override
  public Optional<ExportResult> export(
      String engine, String store, List<String> keys, long timeoutMs) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("store", store);
    keys.forEach(body.putArray("keys")::add);
    Request request =
        new Request.Builder()
            .url("http://" + engine + "/v1/kv/export")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    return call(request, timeoutMs)
        .map(
            json -> {
              List<WrittenBlock> blocks = new ArrayList<>();
              for (JsonNode item : json.path("blocks")) {
                blocks.add(
                    new WrittenBlock(item.path("key").asText(), item.path("checksum").asText()));
              }
              return new ExportResult(blocks, json.path("bytes").asLong());
            });
  }

  @Override
  public boolean publish(String store, Manifest manifest) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("group", manifest.group());
    ArrayNode blocks = body.putArray("blocks");
    for (WrittenBlock block : manifest.blocks()) {
      blocks.addObject().put("key", block.key()).put("checksum", block.checksum());
    }
    Request request =
        new Request.Builder()
            .url("http://" + store + "/v1/manifests/" + manifest.id())
            .put(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    return call(request, CALL_TIMEOUT_MS).isPresent();
  }

  @Override
  public boolean withdraw(String store, String manifestId) {
    Request request =
        new Request.Builder()
            .url("http://" + store + "/v1/manifests/" + manifestId)
            .delete()
            .build();
    return call(request, CALL_TIMEOUT_MS).isPresent();
  }

  @Override
  public List<StoredManifest> listManifests(String store) {
    Request request = new Request.Builder().url("http://" + store + "/v1/manifests").build();
    List<StoredManifest> manifests = new ArrayList<>();
    call(request, CALL_TIMEOUT_MS)
        .ifPresent(
            json -> {
              for (JsonNode item : json.path("manifests")) {
                manifests.add(
                    new StoredManifest(
                        item.path("id").asText(),
                        item.path("group").asText(),
                        item.path("bytes").asLong(),
                        item.path("last_read_ms").asLong()));
              }
            });
    return manifests;
  }

  @Override
  public Optional<StoreUsage> usage(String store) {
    Request request = new Request.Builder().url("http://" + store + "/v1/fill").build();
    return call(request, CALL_TIMEOUT_MS)
        .map(
            json ->
                new StoreUsage(
                    json.path("used_bytes").asLong(), json.path("capacity_bytes").asLong()));
  }

  private Optional<JsonNode> call(Request request, long timeoutMs) {
    OkHttpClient clientWithTimeout =
        client
            .newBuilder()
            .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .build();
    try (Response response = clientWithTimeout.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return Optional.empty();
      }
      String text = response.body().string();
      return Optional.of(Json.LENIENT.readTree(text.isEmpty() ? "{}" : text));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
