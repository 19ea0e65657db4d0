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
package org.landingtrack.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Json;

/** Writes an engine's streams as server-sent events, with the faults of streams. Thread-safe. */
final class StreamWriter {
  private final Faults faults;
  private final AtomicLong queuedTokens;
  private final AtomicInteger runningRequests;

  /** Creates a writer that adds the given load to the answers. */
  StreamWriter(Faults faults, AtomicLong queuedTokens, AtomicInteger running) {
    this.faults = faults;
    this.queuedTokens = queuedTokens;
    this.runningRequests = running;
  }

  /**
   * Writes the tokens of a stream from an offset on until it ends, then its usage and the end mark,
   * or an error event if the run failed or was cancelled.
   */
  void writeStream(Context ctx, EngineStream stream, int startOffset)
      throws IOException, InterruptedException {
    boolean cut = faults.isOn("cutAfter") && faults.tryConsume("cutOnce");
    ctx.res().setContentType("text/event-stream");
    OutputStream out = ctx.res().getOutputStream();
    ctx.res().flushBuffer();
    for (int offset = startOffset; ; offset++) {
      @Nullable String token = stream.token(offset);
      if (token == null) {
        break;
      }
      if (cut && offset - startOffset >= faults.get("cutAfter")) {
        throw new UncheckedIOException(
            new IOException("fault cutAfter: the connection is closed during the stream"));
      }
      if (faults.isOn("missToken") && offset == 2 && faults.tryConsume("missToken")) {
        continue;
      }
      writeEvent(out, chunk(stream, offset, token).toString());
    }
    if (!stream.isComplete()) {
      ObjectNode error = Json.LENIENT.createObjectNode();
      writeEvent(
          out, error.put("attempt", stream.attempt()).put("error", stream.error()).toString());
      return;
    }
    writeEvent(out, usage(stream).toString());
    if (!faults.tryConsume("noEndMark")) {
      writeEvent(out, "[DONE]");
    }
  }

  private ObjectNode chunk(EngineStream stream, int offset, String token) {
    ObjectNode chunk = Json.LENIENT.createObjectNode();
    String attempt = faults.tryConsume("wrongAttempt") ? "another" : stream.attempt();
    chunk.put("attempt", attempt).put("offset", offset);
    chunk.putArray("choices").addObject().putObject("delta").put("content", token);
    if (offset == 0) {
      addLoad(chunk);
    }
    return chunk;
  }

  private void addLoad(ObjectNode chunk) {
    if (!faults.isOn("loadLag")) {
      chunk
          .putObject("load")
          .put("queued_tokens", queuedTokens.get())
          .put("running", runningRequests.get());
    }
  }

  private ObjectNode usage(EngineStream stream) {
    int[] counts = stream.usage();
    ObjectNode chunk = Json.LENIENT.createObjectNode();
    chunk.put("attempt", stream.attempt());
    addLoad(chunk);
    chunk
        .putObject("usage")
        .put("prompt_tokens", counts[0])
        .put("cached_tokens", counts[1])
        .put("completion_tokens", counts[2]);
    return chunk;
  }

  private static void writeEvent(OutputStream out, String data) throws IOException {
    out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }
}
