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
package org.landingtrack.internal.directory;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.landingtrack.internal.base.Json;

/** {@link CacheFeed} over HTTP, with long polling for events. Thread-safe. */
public final class HttpCacheFeed implements CacheFeed {
  private static final long RESPONSE_TIMEOUT_MS = 2_000;

  private final OkHttpClient client = new OkHttpClient();

  @Override
  public Events events(String address, long afterSequence, long waitMs) throws CacheFeedException {
    return get(
        "http://" + address + "/v1/cache/events?after=" + afterSequence + "&waitMs=" + waitMs,
        waitMs + RESPONSE_TIMEOUT_MS);
  }

  @Override
  public Events listing(String address) throws CacheFeedException {
    return get("http://" + address + "/v1/cache", RESPONSE_TIMEOUT_MS);
  }

  private Events get(String url, long timeoutMs) throws CacheFeedException {
    OkHttpClient clientWithTimeout =
        client
            .newBuilder()
            .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
            .build();
    try (Response response =
        clientWithTimeout.newCall(new Request.Builder().url(url).build()).execute()) {
      if (!response.isSuccessful()) {
        throw new CacheFeedException("answered with HTTP status " + response.code());
      }
      JsonNode body = Json.LENIENT.readTree(response.body().string());
      List<Event> events = new ArrayList<>();
      for (JsonNode item : body.path("events")) {
        events.add(
            new Event(
                item.path("group").asText(),
                item.path("key").asText(),
                item.path("kept").asText(),
                item.path("held").asBoolean()));
      }
      return new Events(
          body.path("sequence").asLong(),
          body.path("gap").asBoolean(),
          events,
          body.path("weight_version").asText());
    } catch (IOException e) {
      throw new CacheFeedException(e.toString());
    }
  }
}
