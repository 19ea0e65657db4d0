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
package org.landingtrack.internal.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.engine.CompletionOutcome.Broken;
import org.landingtrack.internal.engine.CompletionOutcome.NotRun;
import org.landingtrack.internal.engine.CompletionOutcome.TooLate;

/** {@link BackendClient} over HTTP. */
public final class HttpBackendClient implements BackendClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final long CONNECT_MS = 1_000;
  private static final long CONTROL_MS = 2_000;
  private static final int MAX_IDLE_CONNECTIONS = 256;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;

  /** Header by which a backend server says that it refused before running. */
  public static final String NOT_RUN_HEADER = "X-Not-Run";

  /** Header by which a backend server says that it refused because it is leaving. */
  public static final String LEAVING_HEADER = "X-Leaving";

  /** An engine's answer that did not run because it loads weights carries this header as well. */
  public static final String LOADING_HEADER = "X-Loading";

  private final OkHttpClient client;
  private final Ticker ticker;
  private final ScheduledExecutorService deadlines;

  public HttpBackendClient(Ticker ticker) {
    this.ticker = ticker;
    Dispatcher dispatcher = new Dispatcher(Executors.newCachedThreadPool(Duty.daemon("http")));
    this.client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 30, TimeUnit.SECONDS))
            .connectTimeout(CONNECT_MS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
    this.deadlines = Executors.newSingleThreadScheduledExecutor(Duty.daemon("deadlines"));
  }

  @Override
  public CompletionOutcome complete(String address, CompletionCall call, TokenSink sink) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("model", call.model());
    body.set("messages", call.messages());
    body.put("max_tokens", call.maxTokens());
    body.put("stream", true);
    ObjectNode extra = body.putObject("landingtrack");
    extra.put("attempt", call.attempt());
    extra.put("weight_version", call.weightVersion());
    extra.put("priority", call.priority());
    extra.put("resume_offset", call.resumeOffset());
    call.cacheKeys().forEach(extra.putArray("cache_keys")::add);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/chat/completions")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    return stream(address, request, call, call.resumeOffset(), sink);
  }

  @Override
  public CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink) {
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/streams/" + call.attempt() + "?from=" + from)
            .build();
    CompletionOutcome outcome = stream(address, request, call, from, sink);
    // The attempt did run, so a refused resume must not read as "not run".
    return outcome instanceof NotRun notRun ? new Broken(notRun.why()) : outcome;
  }

  private CompletionOutcome stream(
      String address, Request request, CompletionCall call, int from, TokenSink sink) {
    SendStage stage = new SendStage();
    OkHttpClient own =
        client
            .newBuilder()
            .eventListener(stage)
            .readTimeout(call.idleMs(), TimeUnit.MILLISECONDS)
            .writeTimeout(call.idleMs(), TimeUnit.MILLISECONDS)
            .build();
    Call http = own.newCall(request);
    AtomicBoolean late = new AtomicBoolean();
    Future<?> alarm = armDeadline(http, call, late);
    StreamReader reader = new StreamReader(call.attempt(), from, sink, ticker);
    try (Response response = http.execute()) {
      if (!response.isSuccessful()) {
        return refusal(response);
      }
      return reader.read(response.body().source(), () -> alarm.cancel(false));
    } catch (CallerGoneException e) {
      http.cancel();
      var unused = cancel(address, call.attempt());
      throw e;
    } catch (IOException e) {
      return broken(address, call, stage, late.get(), e);
    } finally {
      alarm.cancel(false);
    }
  }

  private Future<?> armDeadline(Call http, CompletionCall call, AtomicBoolean late) {
    long leftMs = Math.max(1, call.firstTokenBeforeMs() - ticker.millis());
    return deadlines.schedule(
        () -> {
          late.set(true);
          http.cancel();
        },
        leftMs,
        TimeUnit.MILLISECONDS);
  }

  private CompletionOutcome broken(
      String address, CompletionCall call, SendStage stage, boolean late, IOException e) {
    if (!stage.mayHaveReached()) {
      return late ? new TooLate(false) : NotRun.of("no connection: " + e, true);
    }
    if (late) {
      return new TooLate(cancel(address, call.attempt()) != Cancelled.NEVER_RAN);
    }
    return new Broken(e.toString());
  }

  private static CompletionOutcome refusal(Response response) throws IOException {
    int status = response.code();
    String text = response.body().string();
    if (status == CONFLICT) {
      JsonNode body = Json.LENIENT.readTree(text);
      return new NotRun(
          "has another weight version",
          NotRun.Reason.OTHER_VERSION,
          body.path("weight_version").asText());
    }
    if (response.header(LEAVING_HEADER) != null) {
      return new NotRun("is leaving", NotRun.Reason.LEAVING, "");
    }
    boolean saysNotRun = response.header(NOT_RUN_HEADER) != null;
    if (saysNotRun && response.header(LOADING_HEADER) != null) {
      return new NotRun("is loading weights", NotRun.Reason.LOADING, "");
    }
    if (status == TOO_MANY || (status == UNAVAILABLE && saysNotRun)) {
      return NotRun.of("refused with " + status, false);
    }
    if (saysNotRun) {
      return NotRun.of("refused with " + status, true);
    }
    return new CompletionOutcome.Failed("answered " + status);
  }

  @Override
  public Cancelled cancel(String address, String attempt) {
    Request request =
        new Request.Builder().url("http://" + address + "/v1/streams/" + attempt).delete().build();
    try (Response response = control().newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return Cancelled.UNKNOWN;
      }
      JsonNode body = Json.LENIENT.readTree(response.body().string());
      return body.path("ran").asBoolean(true) ? Cancelled.RAN : Cancelled.NEVER_RAN;
    } catch (IOException e) {
      return Cancelled.UNKNOWN;
    }
  }

  private OkHttpClient control() {
    return client.newBuilder().callTimeout(CONTROL_MS, TimeUnit.MILLISECONDS).build();
  }

  @Override
  public long importKept(String address, KeptImport order) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("store", order.store());
    body.put("manifest", order.manifest());
    body.put("pin_ms", order.pinMs());
    order.keys().forEach(body.putArray("keys")::add);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/kv/import")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    OkHttpClient own =
        client
            .newBuilder()
            .readTimeout(order.timeoutMs(), TimeUnit.MILLISECONDS)
            .callTimeout(order.timeoutMs(), TimeUnit.MILLISECONDS)
            .build();
    try (Response response = own.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return 0;
      }
      return Json.LENIENT.readTree(response.body().string()).path("bytes").asLong();
    } catch (IOException e) {
      // The engine computes what it did not get; only time is lost.
      return 0;
    }
  }

  @Override
  public PlainOutcome plain(String address, PlainCall call) {
    SendStage stage = new SendStage();
    OkHttpClient own =
        client
            .newBuilder()
            .eventListener(stage)
            .readTimeout(call.timeoutMs(), TimeUnit.MILLISECONDS)
            .callTimeout(call.timeoutMs(), TimeUnit.MILLISECONDS)
            .build();
    Request request =
        new Request.Builder()
            .url("http://" + address + call.target())
            .header("Landingtrack-Request-Id", call.requestId())
            .method(call.method(), bodyOf(call))
            .build();
    try (Response response = own.newCall(request).execute()) {
      if (response.header(NOT_RUN_HEADER) != null) {
        return new PlainOutcome.NotRun("refused with " + response.code(), false);
      }
      byte[] answer = response.body().byteStream().readNBytes(call.maxAnswerBytes() + 1);
      if (answer.length > call.maxAnswerBytes()) {
        return new PlainOutcome.Unknown("the answer is too long");
      }
      String type = response.header("Content-Type", "application/octet-stream");
      return new PlainOutcome.Whole(response.code(), type == null ? "" : type, answer);
    } catch (IOException e) {
      return stage.mayHaveReached()
          ? new PlainOutcome.Unknown(e.toString())
          : new PlainOutcome.NotRun("no connection: " + e, true);
    }
  }

  private static @Nullable RequestBody bodyOf(PlainCall call) {
    boolean takesBody = !call.method().equals("GET") && !call.method().equals("HEAD");
    if (!takesBody) {
      return null;
    }
    String type = call.contentType().isEmpty() ? "application/octet-stream" : call.contentType();
    return RequestBody.create(call.body(), MediaType.parse(type));
  }
}
