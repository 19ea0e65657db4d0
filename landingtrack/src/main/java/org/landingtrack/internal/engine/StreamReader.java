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
import java.io.IOException;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.engine.CompletionOutcome.Broken;
import org.landingtrack.internal.engine.CompletionOutcome.Failed;
import org.landingtrack.internal.engine.CompletionOutcome.Whole;
import org.landingtrack.internal.routing.LoadReport;

/**
 * Reads the server-sent events of one attempt. Every chunk must carry the attempt's id, so that the
 * stream of another attempt is never taken for this one. Tokens must be contiguous; repeated ones
 * are dropped. The answer is complete only with its end mark. Used by one thread.
 */
final class StreamReader {
  private static final String DATA_PREFIX = "data:";
  private static final String END_MARK = "[DONE]";
  private static final long MAX_LINE_BYTES = 1 << 20;

  private final String attemptId;
  private final TokenSink sink;
  private final Ticker ticker;
  private int nextOffset;
  private @Nullable Usage usage;

  StreamReader(String attemptId, int from, TokenSink sink, Ticker ticker) {
    this.attemptId = attemptId;
    this.nextOffset = from;
    this.sink = sink;
    this.ticker = ticker;
  }

  /** Reads to the end of the stream; {@code onFirstToken} runs after the first token. */
  CompletionOutcome read(BufferedSource source, Runnable onFirstToken) throws IOException {
    boolean awaitsFirst = true;
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
      if (!line.startsWith(DATA_PREFIX)) {
        continue;
      }
      String data = line.substring(DATA_PREFIX.length()).trim();
      if (data.equals(END_MARK)) {
        return usage == null ? new Broken("end mark without usage") : new Whole(usage);
      }
      CompletionOutcome failure = handleChunk(Json.LENIENT.readTree(data));
      if (failure != null) {
        return failure;
      }
      if (awaitsFirst && nextOffset > 0) {
        awaitsFirst = false;
        onFirstToken.run();
      }
    }
    return new Broken("the stream ended without its end mark");
  }

  private @Nullable CompletionOutcome handleChunk(JsonNode chunk) {
    if (!chunk.path("attempt").asText().equals(attemptId)) {
      return new Broken("a chunk of another attempt arrived");
    }
    if (chunk.has("error")) {
      return new Failed(chunk.path("error").asText());
    }
    if (chunk.has("load")) {
      JsonNode load = chunk.path("load");
      sink.load(
          new LoadReport(
              load.path("queued_tokens").asLong(), load.path("running").asInt(), ticker.millis()));
    }
    if (chunk.has("usage")) {
      JsonNode counts = chunk.path("usage");
      usage =
          new Usage(
              counts.path("prompt_tokens").asInt(),
              counts.path("cached_tokens").asInt(),
              counts.path("completion_tokens").asInt());
    }
    String text = chunk.path("choices").path(0).path("delta").path("content").asText("");
    if (text.isEmpty()) {
      return null;
    }
    int offset = chunk.path("offset").asInt(-1);
    if (offset > nextOffset || offset < 0) {
      return new Broken("token " + nextOffset + " is missing");
    }
    if (offset == nextOffset) {
      sink.token(offset, text);
      nextOffset++;
    }
    return null;
  }
}
