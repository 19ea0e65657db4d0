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
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineServer;

/** A caller of a gateway: sends a streamed request and reads its answer. Thread-safe. */
public final class CallerClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final String DATA = "data:";

  private final OkHttpClient client;

  /** Creates a client that waits so long for the next byte. */
  public CallerClient(long readTimeoutMs) {
    this.client =
        new OkHttpClient.Builder()
            .dispatcher(new Dispatcher(Executors.newCachedThreadPool(Duty.daemon("caller"))))
            .readTimeout(readTimeoutMs, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .build();
  }

  /**
   * A request.
   *
   * @param system the long part that comes back
   * @param question the short part; the stand-in engine repeats it in its first token
   * @param requestKey empty for none
   */
  public record Ask(
      String service,
      String teamKey,
      String system,
      String question,
      int maxTokens,
      long deadlineMs,
      boolean noRepeat,
      String requestKey) {}

  /**
   * An answer.
   *
   * @param status HTTP status; 0 if the connection failed
   * @param whole true if the end mark came
   * @param ran what an error said about whether the request ran
   * @param ttftMs time to the first token as the caller saw it
   */
  public record Answer(
      String requestId,
      int status,
      boolean whole,
      String kind,
      String ran,
      String text,
      double ttftMs,
      int promptTokens,
      int cachedTokens,
      String server) {}

  /** Sends a request and reads its answer. */
  public Answer ask(String gateway, Ask ask) {
    long began = System.nanoTime();
    try (Response response = client.newCall(request(gateway, ask)).execute()) {
      String id = response.header("Landingtrack-Request-Id", "");
      if (!response.isSuccessful()) {
        JsonNode error = Json.LENIENT.readTree(response.body().string()).path("error");
        return failed(
            id == null ? "" : id,
            response.code(),
            error.path("kind").asText(),
            error.path("ran").asText());
      }
      return read(id == null ? "" : id, response.body().source(), began);
    } catch (IOException e) {
      return failed("", 0, "CONNECTION", "unknown");
    }
  }

  /** Returns the answer that the stand-in engine gives to a request under a weight version. */
  static String expected(Ask ask, String weightVersion) {
    String prompt = "<system>" + ask.system() + "\n<user>" + ask.question() + "\n";
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < ask.maxTokens(); i++) {
      text.append(EngineServer.token(prompt, weightVersion, i));
    }
    return text.toString();
  }

  private static Answer failed(String id, int status, String kind, String ran) {
    return new Answer(id, status, false, kind, ran, "", -1, 0, 0, "");
  }

  private static Request request(String gateway, Ask ask) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("model", ask.service()).put("max_tokens", ask.maxTokens()).put("stream", true);
    var messages = body.putArray("messages");
    messages.addObject().put("role", "system").put("content", ask.system());
    messages.addObject().put("role", "user").put("content", ask.question());
    Request.Builder request =
        new Request.Builder()
            .url(gateway + "/v1/chat/completions")
            .header("Authorization", "Bearer " + ask.teamKey())
            .header("Landingtrack-Deadline-Ms", Long.toString(ask.deadlineMs()))
            .post(RequestBody.create(body.toString(), JSON_TYPE));
    if (ask.noRepeat()) {
      request.header("Landingtrack-No-Repeat", "true");
    }
    if (!ask.requestKey().isEmpty()) {
      request.header("Landingtrack-Request-Key", ask.requestKey());
    }
    return request.build();
  }

  private static Answer read(String id, BufferedSource source, long began) throws IOException {
    StringBuilder text = new StringBuilder();
    double ttftMs = -1;
    JsonNode last = Json.LENIENT.createObjectNode();
    boolean whole = false;
    String kind = "";
    String ran = "";
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict();
      if (!line.startsWith(DATA)) {
        continue;
      }
      String data = line.substring(DATA.length()).trim();
      if (data.equals("[DONE]")) {
        whole = true;
        break;
      }
      JsonNode chunk = Json.LENIENT.readTree(data);
      if (chunk.has("error")) {
        kind = chunk.path("error").path("kind").asText();
        ran = chunk.path("error").path("ran").asText();
      }
      String token = chunk.path("choices").path(0).path("delta").path("content").asText();
      if (!token.isEmpty()) {
        ttftMs = ttftMs < 0 ? (System.nanoTime() - began) / 1e6 : ttftMs;
        text.append(token);
      }
      last = chunk;
    }
    JsonNode usage = last.path("usage");
    return new Answer(
        id,
        200,
        whole,
        whole ? "" : kind.isEmpty() ? "CUT" : kind,
        whole ? "ran" : ran.isEmpty() ? "unknown" : ran,
        text.toString(),
        ttftMs,
        usage.path("prompt_tokens").asInt(),
        usage.path("prompt_tokens_details").path("cached_tokens").asInt(),
        last.path("landingtrack").path("backend_server").asText());
  }
}
