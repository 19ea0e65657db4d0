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
package org.landingtrack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Client that calls services of type plain through a gateway, as one team. Thread-safe. */
public final class PlainServiceClient {
  private static final MediaType TEXT_TYPE = MediaType.get("text/plain");

  private final String gateway;
  private final String team;
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .readTimeout(60, TimeUnit.SECONDS)
          .retryOnConnectionFailure(false)
          .build();

  public PlainServiceClient(String gateway, String team) {
    this.gateway = gateway;
    this.team = team;
  }

  /**
   * An answer: HTTP status (0 if the connection failed), the kind of landingtrack's error (empty
   * for any other answer, {@code CONNECTION} if the connection failed), and the body.
   */
  public record Reply(int status, String kind, String body) {}

  /** Sends a POST that must run at most once, with a key that identifies it in retries. */
  public Reply post(String service, String path, String body, String requestKey) {
    Request.Builder request = request(service, path).post(RequestBody.create(body, TEXT_TYPE));
    request.header("Landingtrack-No-Repeat", "true");
    request.header("Landingtrack-Request-Key", requestKey);
    return send(request.build());
  }

  /** Sends a GET. */
  public Reply get(String service, String path) {
    return send(request(service, path).build());
  }

  private Request.Builder request(String service, String path) {
    return new Request.Builder()
        .url(gateway + "/services/" + service + "/" + path)
        .header("Authorization", "Bearer " + DeploymentPlan.teamKey(team));
  }

  private Reply send(Request request) {
    try (Response response = client.newCall(request).execute()) {
      String text = response.body().string();
      JsonNode error = Deployment.parseJson(text).path("error");
      return new Reply(response.code(), error.path("kind").asText(), text);
    } catch (IOException e) {
      return new Reply(0, "CONNECTION", e.toString());
    }
  }
}
