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
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.engine.CompletionOutcome.Broken;
import org.landingtrack.internal.engine.CompletionOutcome.NotRun;
import org.landingtrack.internal.engine.CompletionOutcome.TooLate;

/**
 * {@link BackendClient} over HTTP with pooled connections. The HTTP library's own retries and
 * redirects are off, so that each call stays one attempt. Thread-safe.
 */
public final class HttpBackendClient implements BackendClient {
  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long CONTROL_TIMEOUT_MS = 2_000;
  private static final int MAX_IDLE_CONNECTIONS = 256;
  private static final int CONFLICT = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** Response header: the server refused the request and ran nothing. */
  public static final String NOT_RUN_HEADER = "X-Not-Run";

  /** Response header: the server refused the request because it is leaving (shutting down). */
  public static final String LEAVING_HEADER = "X-Leaving";

  /** Response header of an engine, beside {@link #NOT_RUN_HEADER}: it is loading weights. */
  public static final String LOADING_HEADER = "X-Loading";

  private final OkHttpClient client;
  private final Ticker ticker;
  private final ScheduledExecutorService deadlineTimer;

  public HttpBackendClient(Ticker ticker) {
    this.ticker = ticker;
    Dispatcher dispatcher =
        new Dispatcher(Executors.newCachedThreadPool(BoundedWorker.daemonThreadFactory("http")));
    this.client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 30, TimeUnit.SECONDS))
            .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build();
    this.deadlineTimer =
        Executors.newSingleThreadScheduledExecutor(BoundedWorker.daemonThreadFactory("deadlines"));
  }

  @Override
  public CompletionOutcome complete(String address, CompletionCall call, TokenSink sink) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("model", call.model());
    body.set("messages", call.messages());
    body.put("max_tokens", call.maxTokens());
    body.put("stream", true);
    ObjectNode extension = body.putObject("landingtrack");
    extension.put("attempt", call.attemptId());
    extension.put("weight_version", call.weightVersion());
    extension.put("priority", call.priority());
    extension.put("resume_offset", call.resumeOffset());
    call.cacheKeys().forEach(extension.putArray("cache_keys")::add);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/chat/completions")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    return runStream(address, request, call, call.resumeOffset(), sink);
  }

  @Override
  public CompletionOutcome resume(String address, CompletionCall call, int from, TokenSink sink) {
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/streams/" + call.attemptId() + "?from=" + from)
            .build();
    CompletionOutcome outcome = runStream(address, request, call, from, sink);
    // The attempt did run, so a refused resume must not be reported as not run: a retry is unsafe.
    return outcome instanceof NotRun notRun ? new Broken(notRun.detail()) : outcome;
  }

  private CompletionOutcome runStream(
      String address, Request request, CompletionCall call, int from, TokenSink sink) {
    SendTracker stage = new SendTracker();
    OkHttpClient callClient =
        client
            .newBuilder()
            .eventListener(stage)
            .readTimeout(call.idleTimeoutMs(), TimeUnit.MILLISECONDS)
            .writeTimeout(call.idleTimeoutMs(), TimeUnit.MILLISECONDS)
            .build();
    Call httpCall = callClient.newCall(request);
    AtomicBoolean deadlinePassed = new AtomicBoolean();
    Future<?> deadlineTask = scheduleDeadline(httpCall, call, deadlinePassed);
    StreamReader reader = new StreamReader(call.attemptId(), from, sink, ticker);
    try (Response response = httpCall.execute()) {
      if (!response.isSuccessful()) {
        return errorStatusOutcome(response);
      }
      return reader.read(response.body().source(), () -> deadlineTask.cancel(false));
    } catch (CallerDisconnectedException e) {
      httpCall.cancel();
      var unused = cancel(address, call.attemptId());
      throw e;
    } catch (IOException e) {
      return ioFailureOutcome(address, call, stage, deadlinePassed.get(), e);
    } finally {
      deadlineTask.cancel(false);
    }
  }

  private Future<?> scheduleDeadline(
      Call httpCall, CompletionCall call, AtomicBoolean deadlinePassed) {
    long remainingMs = Math.max(1, call.firstTokenDeadlineMs() - ticker.millis());
    return deadlineTimer.schedule(
        () -> {
          deadlinePassed.set(true);
          httpCall.cancel();
        },
        remainingMs,
        TimeUnit.MILLISECONDS);
  }

  private CompletionOutcome ioFailureOutcome(
      String address,
      CompletionCall call,
      SendTracker stage,
      boolean deadlinePassed,
      IOException e) {
    if (!stage.mayHaveReachedServer()) {
      return deadlinePassed ? new TooLate(false) : NotRun.of("connection failed: " + e, true);
    }
    if (deadlinePassed) {
      return new TooLate(cancel(address, call.attemptId()) != CancelResult.NEVER_RAN);
    }
    return new Broken(e.toString());
  }

  private static CompletionOutcome errorStatusOutcome(Response response) throws IOException {
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
    boolean isNotRun = response.header(NOT_RUN_HEADER) != null;
    if (isNotRun && response.header(LOADING_HEADER) != null) {
      return new NotRun("is loading weights", NotRun.Reason.LOADING, "");
    }
    if (status == TOO_MANY_REQUESTS || (status == UNAVAILABLE && isNotRun)) {
      return NotRun.of("refused with status " + status, false);
    }
    if (isNotRun) {
      return NotRun.of("refused with status " + status, true);
    }
    return new CompletionOutcome.Failed("answered with status " + status);
  }

  @Override
  public CancelResult cancel(String address, String attempt) {
    Request request =
        new Request.Builder().url("http://" + address + "/v1/streams/" + attempt).delete().build();
    try (Response response = controlClient().newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return CancelResult.UNKNOWN;
      }
      JsonNode body = Json.LENIENT.readTree(response.body().string());
      return body.path("ran").asBoolean(true) ? CancelResult.RAN : CancelResult.NEVER_RAN;
    } catch (IOException e) {
      return CancelResult.UNKNOWN;
    }
  }

  private OkHttpClient controlClient() {
    return client.newBuilder().callTimeout(CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS).build();
  }

  @Override
  public long importKvCache(String address, KvCacheImport kvImport) {
    ObjectNode body = Json.LENIENT.createObjectNode();
    body.put("store", kvImport.storeAddress());
    body.put("manifest", kvImport.manifest());
    body.put("pin_ms", kvImport.pinMs());
    kvImport.blockKeys().forEach(body.putArray("keys")::add);
    Request request =
        new Request.Builder()
            .url("http://" + address + "/v1/kv/import")
            .post(RequestBody.create(body.toString(), JSON_TYPE))
            .build();
    OkHttpClient callClient =
        client
            .newBuilder()
            .readTimeout(kvImport.timeoutMs(), TimeUnit.MILLISECONDS)
            .callTimeout(kvImport.timeoutMs(), TimeUnit.MILLISECONDS)
            .build();
    try (Response response = callClient.newCall(request).execute()) {
      if (!response.isSuccessful()) {
        return 0;
      }
      return Json.LENIENT.readTree(response.body().string()).path("bytes").asLong();
    } catch (IOException e) {
      // The engine computes the blocks that it did not import, so a failure costs only time.
      return 0;
    }
  }

  @Override
  public PlainOutcome plain(String address, PlainCall call) {
    SendTracker stage = new SendTracker();
    OkHttpClient callClient =
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
            .method(call.method(), requestBody(call))
            .build();
    try (Response response = callClient.newCall(request).execute()) {
      if (response.header(NOT_RUN_HEADER) != null) {
        return new PlainOutcome.NotRun("refused with status " + response.code(), false);
      }
      byte[] content = response.body().byteStream().readNBytes(call.maxAnswerBytes() + 1);
      if (content.length > call.maxAnswerBytes()) {
        return new PlainOutcome.Unknown("the answer is longer than the limit for plain services");
      }
      String type = response.header("Content-Type", "application/octet-stream");
      return new PlainOutcome.Whole(response.code(), type == null ? "" : type, content);
    } catch (IOException e) {
      return stage.mayHaveReachedServer()
          ? new PlainOutcome.Unknown(e.toString())
          : new PlainOutcome.NotRun("connection failed: " + e, true);
    }
  }

  private static @Nullable RequestBody requestBody(PlainCall call) {
    boolean hasBody = !call.method().equals("GET") && !call.method().equals("HEAD");
    if (!hasBody) {
      return null;
    }
    String type = call.contentType().isEmpty() ? "application/octet-stream" : call.contentType();
    return RequestBody.create(call.body(), MediaType.parse(type));
  }
}
