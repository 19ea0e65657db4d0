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

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeoutException;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Ticker;

/** Reads a caller's request body within a limit on its size and one on its time. */
final class BodyReader {
  private static final int CHUNK_BYTES = 16_384;

  private BodyReader() {}

  /**
   * Reads the whole body.
   *
   * @param declaredLength from the header {@code Content-Length}; -1 if there is none
   * @throws LandingtrackException if the body is too large, too slow, or the connection fails
   */
  static byte[] read(
      InputStream in, long declaredLength, int maxBytes, long timeoutMs, Ticker ticker) {
    if (declaredLength > maxBytes) {
      throw tooLarge(maxBytes);
    }
    long deadlineMs = ticker.millis() + timeoutMs;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    byte[] chunk = new byte[CHUNK_BYTES];
    try {
      while (true) {
        int count = in.read(chunk);
        if (count < 0) {
          return body.toByteArray();
        }
        body.write(chunk, 0, count);
        if (body.size() > maxBytes) {
          throw tooLarge(maxBytes);
        }
        if (ticker.millis() > deadlineMs) {
          throw tooSlow(timeoutMs);
        }
      }
    } catch (IOException e) {
      if (e.getCause() instanceof TimeoutException || e.toString().contains("Timeout")) {
        throw tooSlow(timeoutMs);
      }
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST, "the connection failed before the request body was complete", e);
    }
  }

  private static LandingtrackException tooLarge(int maxBytes) {
    return new LandingtrackException(
        ErrorKind.TOO_LARGE, "the body is longer than " + maxBytes + " bytes");
  }

  private static LandingtrackException tooSlow(long timeoutMs) {
    return new LandingtrackException(
        ErrorKind.BODY_TIMEOUT, "the body was not received within " + timeoutMs + " ms");
  }
}
