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
package org.landingtrack.internal.serving;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.LongSupplier;
import org.landingtrack.ErrorKind;

/** Records what a caller receives, as one entry for each call of the sink. */
final class RecordingSink implements CallerSink {
  final StringBuilder log = new StringBuilder();
  long retryAfterMs = -1;

  /** When the request was refused, by {@link #clock}. */
  long refusedAtMs = -1;

  LongSupplier clock = () -> 0;

  @Override
  public void answer(int status, List<Header> headers, byte[] body) {
    add("answer " + status + " " + new String(body, StandardCharsets.UTF_8));
  }

  @Override
  public void refuse(ErrorKind kind, String why, long retryMs) {
    retryAfterMs = retryMs;
    refusedAtMs = clock.getAsLong();
    add("refused " + kind);
  }

  @Override
  public void startStream(int status, List<Header> headers) {
    add("stream " + status);
  }

  @Override
  public void event(byte[] bytes) {
    add("event " + new String(bytes, StandardCharsets.UTF_8).trim());
  }

  @Override
  public void endStream() {
    add("end");
  }

  @Override
  public void abort() {
    add("abort");
  }

  private void add(String entry) {
    if (log.length() > 0) {
      log.append("; ");
    }
    log.append(entry);
  }
}
