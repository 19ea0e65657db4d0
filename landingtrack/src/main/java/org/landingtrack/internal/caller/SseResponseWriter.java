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
package org.landingtrack.internal.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.dispatch.DispatchReport;
import org.landingtrack.internal.engine.CallerDisconnectedException;

/**
 * Streams an answer to the caller, each token as a server-sent event. Throws {@link
 * CallerDisconnectedException} when the caller has closed its connection.
 */
final class SseResponseWriter implements ResponseWriter {
  private final Context ctx;
  private final String requestId;
  private final String model;
  private @Nullable OutputStream out;

  SseResponseWriter(Context ctx, String requestId, String model) {
    this.ctx = ctx;
    this.requestId = requestId;
    this.model = model;
  }

  @Override
  public void token(int offset, String text) {
    sendEvent(ResponseBodies.chunk(requestId, model, text).toString());
  }

  @Override
  public void finish(DispatchReport report) {
    sendEvent(ResponseBodies.lastChunk(requestId, model, report).toString());
    sendEvent("[DONE]");
  }

  private void sendEvent(String data) {
    try {
      OutputStream stream = openStream();
      stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
      stream.flush();
    } catch (IOException e) {
      throw new CallerDisconnectedException(e);
    }
  }

  private OutputStream openStream() throws IOException {
    OutputStream existing = out;
    if (existing != null) {
      return existing;
    }
    ctx.res().setContentType("text/event-stream");
    ctx.res().setCharacterEncoding("utf-8");
    ctx.res().setHeader("Cache-Control", "no-store");
    OutputStream opened = ctx.res().getOutputStream();
    out = opened;
    return opened;
  }

  /** Sends an error event on a stream that has begun, without the end mark {@code [DONE]}. */
  static void trySendError(Context ctx, ObjectNode body) {
    try {
      OutputStream out = ctx.res().getOutputStream();
      out.write(("event: error\ndata: " + body + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      // The caller closed its connection, so there is no one to send the error to.
    }
  }
}
