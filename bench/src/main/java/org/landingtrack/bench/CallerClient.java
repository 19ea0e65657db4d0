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
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.standins.EngineServer;

/** Client of a gateway: sends streaming model requests and reads the answers. Thread-safe. */
public final class CallerClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final String DATA_PREFIX = "data:";

  private final OkHttpClient client;

  /** Creates a client with a read timeout, in milliseconds between two bytes of an answer. */
  public CallerClient(long readTimeoutMs) {
    this.client =
        new OkHttpClient.Builder()
            .dispatcher(
                new Dispatcher(
                    Executors.newCachedThreadPool(BoundedWorker.daemonThreadFactory("caller"))))
            .readTimeout(readTimeoutMs, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .build();
  }

  /**
   * A model request.
   *
   * @param system the long part of the prompt, which several requests share
   * @param question the short part; the stand-in engine repeats it in its first token
   * @param noRepeat true if the request must run at most once
   * @param requestKey the key that identifies the request in retries; empty for none
   */
  public record PromptRequest(
      String service,
      String teamKey,
      String system,
      String question,
      int maxTokens,
      long deadlineMs,
      boolean noRepeat,
      String requestKey) {}

  /**
   * The answer to a request.
   *
   * @param status HTTP status; 0 if the connection failed
   * @param complete true if the end marker of the stream was received
   * @param kind kind of the error; {@code CONNECTION} if the connection failed, {@code CUT} if the
   *     stream ended early without an error, empty for a complete answer
   * @param ran whether the request ran, as the error states it
   * @param ttftMs time to the first token in milliseconds, measured by the caller; -1 if there was
   *     none
   */
  public record Answer(
      String requestId,
      int status,
      boolean complete,
      String kind,
      String ran,
      String text,
      double ttftMs,
      int promptTokens,
      int cachedTokens,
      String server) {}

  /** Sends a request and reads its answer to the end; never throws if the connection fails. */
  public Answer send(String gateway, PromptRequest prompt) {
    long startNs = System.nanoTime();
    try (Response response = client.newCall(buildRequest(gateway, prompt)).execute()) {
      String id = response.header("Landingtrack-Request-Id", "");
      if (!response.isSuccessful()) {
        JsonNode error = Json.LENIENT.readTree(response.body().string()).path("error");
        return failedAnswer(
            id == null ? "" : id,
            response.code(),
            error.path("kind").asText(),
            error.path("ran").asText());
      }
      return readAnswer(id == null ? "" : id, response.body().source(), startNs);
    } catch (IOException e) {
      return failedAnswer("", 0, "CONNECTION", "unknown");
    }
  }

  /** Returns the text that the stand-in engine generates for a request with a weight version. */
  static String expectedText(PromptRequest request, String weightVersion) {
    String prompt = "<system>" + request.system() + "\n<user>" + request.question() + "\n";
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < request.maxTokens(); i++) {
      text.append(EngineServer.token(prompt, weightVersion, i));
    }
    return text.toString();
  }

  private static Answer failedAnswer(String id, int status, String kind, String ran) {
    return new Answer(id, status, false, kind, ran, "", -1, 0, 0, "");
  }

  private static Request buildRequest(String gateway, PromptRequest prompt) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("model", prompt.service()).put("max_tokens", prompt.maxTokens()).put("stream", true);
    var messages = body.putArray("messages");
    messages.addObject().put("role", "system").put("content", prompt.system());
    messages.addObject().put("role", "user").put("content", prompt.question());
    Request.Builder request =
        new Request.Builder()
            .url(gateway + "/v1/chat/completions")
            .header("Authorization", "Bearer " + prompt.teamKey())
            .header("Landingtrack-Deadline-Ms", Long.toString(prompt.deadlineMs()))
            .post(RequestBody.create(body.toString(), JSON_TYPE));
    if (prompt.noRepeat()) {
      request.header("Landingtrack-No-Repeat", "true");
    }
    if (!prompt.requestKey().isEmpty()) {
      request.header("Landingtrack-Request-Key", prompt.requestKey());
    }
    return request.build();
  }

  private static Answer readAnswer(String id, BufferedSource source, long startNs)
      throws IOException {
    StringBuilder text = new StringBuilder();
    double ttftMs = -1;
    JsonNode last = Json.LENIENT.createObjectNode();
    boolean whole = false;
    String kind = "";
    String ran = "";
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict();
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length()).trim();
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
        ttftMs = ttftMs < 0 ? (System.nanoTime() - startNs) / 1e6 : ttftMs;
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
