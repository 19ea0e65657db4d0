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
package org.landingtrack.internal.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.platform.PlatformException.Reason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the Object API over HTTP and JSON. Each call needs the permission of the circuit
 * breaker and the call budget first; a call that they reject is not sent and has no effect.
 * Thread-safe.
 */
public final class HttpObjectApi implements ObjectApi {
  private static final Logger log = LoggerFactory.getLogger("store");

  private static final MediaType JSON_TYPE = MediaType.get("application/json");
  private static final long CALL_TIMEOUT_MS = 3_000;
  private static final long WATCH_SLACK_MS = 2_000;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final HttpUrl base;
  private final OkHttpClient client;
  private final CallBudget reads;
  private final CallBudget writes;
  private final CircuitBreaker breaker;

  /** Creates a client with the given shares of the platform's rate limits. */
  public HttpObjectApi(
      String baseUrl, Ticker ticker, double readsPerSecond, double writesPerSecond) {
    this.base = HttpUrl.get(baseUrl);
    this.client =
        new OkHttpClient.Builder()
            .callTimeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .build();
    this.reads = new CallBudget(ticker, readsPerSecond);
    this.writes = new CallBudget(ticker, writesPerSecond);
    this.breaker = new CircuitBreaker(ticker, 5, 1_000);
  }

  /** Returns true while the circuit breaker is closed, that is, while the platform answers. */
  public boolean reachable() {
    return !breaker.isOpen();
  }

  @Override
  public Optional<StoredObject> read(CallClass callClass, String key) {
    HttpUrl url = objects().addPathSegments(key).build();
    Reply reply = get(callClass, url, CALL_TIMEOUT_MS);
    return reply.status == NOT_FOUND ? Optional.empty() : Optional.of(object(reply.body));
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    HttpUrl url =
        objects()
            .addQueryParameter("prefix", prefix)
            .addQueryParameter("after", after)
            .addQueryParameter("limit", Integer.toString(limit))
            .build();
    return listing(get(callClass, url, CALL_TIMEOUT_MS).body);
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    HttpUrl url =
        base.newBuilder()
            .addPathSegment("watch")
            .addQueryParameter("prefix", prefix)
            .addQueryParameter("after", Long.toString(afterRevision))
            .addQueryParameter("waitMs", Long.toString(waitMs))
            .build();
    return listing(get(callClass, url, waitMs + WATCH_SLACK_MS).body);
  }

  @Override
  public StoredObject write(CallClass callClass, String key, String value, long expectedVersion) {
    admit(callClass, writes);
    HttpUrl url =
        objects()
            .addPathSegments(key)
            .addQueryParameter("ifVersion", Long.toString(expectedVersion))
            .build();
    Request request =
        new Request.Builder().url(url).put(RequestBody.create(value, JSON_TYPE)).build();
    Reply reply = callWrite(request);
    return new StoredObject(
        key, reply.body.path("version").asLong(), reply.body.path("revision").asLong(), value);
  }

  private Reply callWrite(Request request) {
    try {
      return call(request, CALL_TIMEOUT_MS);
    } catch (IOException e) {
      breaker.recordFailure();
      throw new PlatformException(
          Reason.OUTCOME_UNKNOWN,
          "the platform did not answer a write, which may have taken effect: " + e);
    }
  }

  private Reply get(CallClass callClass, HttpUrl url, long timeoutMs) {
    admit(callClass, reads);
    try {
      return callRead(new Request.Builder().url(url).build(), timeoutMs);
    } catch (IOException e) {
      breaker.recordFailure();
      throw new PlatformException(Reason.UNAVAILABLE, "the platform did not answer a read: " + e);
    }
  }

  /**
   * Sends a read. A read has no effect, so it is sent once more if its pooled connection had been
   * closed by the platform.
   */
  private Reply callRead(Request request, long timeoutMs) throws IOException {
    try {
      return call(request, timeoutMs);
    } catch (IOException e) {
      if (!isClosedConnection(e)) {
        throw e;
      }
      log.info(
          "Repeating a read on a new connection, since the pooled connection was closed: {}.",
          e.toString());
      client.connectionPool().evictAll();
      return call(request, timeoutMs);
    }
  }

  private static boolean isClosedConnection(IOException e) {
    boolean reset = e instanceof SocketException && !(e instanceof ConnectException);
    return reset || e.getCause() instanceof EOFException;
  }

  private void admit(CallClass callClass, CallBudget budget) {
    if (!breaker.tryAcquire()) {
      throw new PlatformException(
          Reason.UNAVAILABLE,
          "call not sent: the circuit breaker is open, since the platform does not answer");
    }
    if (!budget.tryAcquire(callClass)) {
      throw new PlatformException(
          Reason.UNAVAILABLE, "call not sent: the call rate limit of this process is used up");
    }
  }

  private Reply call(Request request, long timeoutMs) throws IOException {
    OkHttpClient timed =
        timeoutMs == CALL_TIMEOUT_MS
            ? client
            : client
                .newBuilder()
                .callTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .readTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .build();
    try (Response response = timed.newCall(request).execute()) {
      String text = response.body().string();
      int status = response.code();
      if (status == TOO_MANY_REQUESTS || status == UNAVAILABLE) {
        breaker.recordFailure();
        throw new PlatformException(
            Reason.UNAVAILABLE, "the platform answered with status " + status);
      }
      breaker.recordSuccess();
      JsonNode body = Json.LENIENT.readTree(text.isEmpty() ? "{}" : text);
      if (status == CONFLICT) {
        throw new PlatformException(
            Reason.CONFLICT,
            "the object's current version is not the expected one",
            body.path("version").asLong(-1));
      }
      if (status == GONE) {
        throw new PlatformException(
            Reason.TOO_OLD,
            "the platform no longer keeps the changes after the requested revision");
      }
      if (!response.isSuccessful() && status != NOT_FOUND) {
        throw new IOException("the platform answered with status " + status);
      }
      return new Reply(status, body);
    }
  }

  private HttpUrl.Builder objects() {
    return base.newBuilder().addPathSegment("objects");
  }

  private static Listing listing(JsonNode body) {
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode node : body.path("objects")) {
      objects.add(object(node));
    }
    return new Listing(body.path("revision").asLong(), objects);
  }

  private static StoredObject object(JsonNode node) {
    return new StoredObject(
        node.path("key").asText(),
        node.path("version").asLong(),
        node.path("revision").asLong(),
        node.path("value").asText());
  }

  private record Reply(int status, JsonNode body) {}
}
