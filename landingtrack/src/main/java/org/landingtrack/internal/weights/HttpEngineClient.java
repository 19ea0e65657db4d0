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
package org.landingtrack.internal.weights;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.weights.RolloutPlanner.EngineState;

/** {@link EngineClient} over HTTP. Makes no retries. Thread-safe. */
public final class HttpEngineClient implements EngineClient {
  /** Timeout of a call in milliseconds, and so the longest time that an order is in flight. */
  public static final long CALL_TIMEOUT_MS = 1_000;

  private static final MediaType JSON_TYPE = MediaType.get("application/json");

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
          .retryOnConnectionFailure(false)
          .build();

  @Override
  public EngineState state(String name, String address) {
    Request request = new Request.Builder().url("http://" + address + "/v1/status").build();
    try (Response response = client.newCall(request).execute()) {
      JsonNode body = Json.LENIENT.readTree(response.body().string());
      return new EngineState(
          name,
          response.isSuccessful(),
          body.path("weight_version").asText(),
          body.path("loading").asBoolean(),
          body.path("running").asInt());
    } catch (IOException e) {
      return new EngineState(name, false, "", false, 0);
    }
  }

  @Override
  public boolean load(String address, String version, String source, long epoch) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("weight_version", version);
    body.put("source", source);
    body.put("epoch", epoch);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/orders/load")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    try (Response response = client.newCall(request).execute()) {
      return response.isSuccessful();
    } catch (IOException e) {
      return false;
    }
  }
}
