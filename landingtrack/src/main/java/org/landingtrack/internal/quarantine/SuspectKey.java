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
package org.landingtrack.internal.quarantine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.landingtrack.internal.base.Hashes;

/**
 * Key of what may have crashed a server: a request, or a part of a prompt. It is the first 128 bits
 * of a SHA-256, so nobody can construct another request or part with the same key.
 *
 * <p>The key of a request covers its team, method, host, target and body, and is the same for all
 * retries of its caller. The key of a prompt part covers the model and the part, wherever in a
 * prompt the part stands and whoever sends it.
 *
 * @param bodyBytes length of a request's body, which distinguishes most requests without computing
 *     a digest; negative for a prompt part
 */
public record SuspectKey(long high, long low, int bodyBytes) {
  private static final int HEX = 16;

  /** Stands for the length of the body in the keys of prompt parts. */
  static final int PROMPT_PART = -1;

  /**
   * Computes the key of a request.
   *
   * @param team owner of the caller's key; empty where the route needs none
   * @param target path and query
   */
  public static SuspectKey ofRequest(
      String team, String method, String host, String target, byte[] body) {
    return of(body.length, body, team, method, host, target);
  }

  /** Computes the key of a prompt part from the model and the part's own key. */
  public static SuspectKey ofPromptPart(String model, String part) {
    return of(PROMPT_PART, new byte[0], model, part);
  }

  /** Returns the key of a prompt part with these bits. */
  static SuspectKey ofPromptPart(long high, long low) {
    return new SuspectKey(high, low, PROMPT_PART);
  }

  private static SuspectKey of(int bodyBytes, byte[] body, String... texts) {
    MessageDigest sha = Hashes.sha256();
    for (String text : texts) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      // The length before each text keeps different lists of texts from giving the same bytes.
      sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      sha.update(bytes);
    }
    ByteBuffer digest = ByteBuffer.wrap(sha.digest(body));
    return new SuspectKey(digest.getLong(), digest.getLong(), bodyBytes);
  }

  /** Returns true for the key of a prompt part, and false for that of a request. */
  public boolean isPromptPart() {
    return bodyBytes < 0;
  }

  /** Returns the digest as 32 hex digits, as log lines and the platform's store have it. */
  public String hex() {
    return String.format("%016x%016x", high, low);
  }

  /**
   * Parses the text that {@link #hex} returns.
   *
   * @throws IllegalArgumentException if the text is anything else
   */
  static SuspectKey parse(String hex, int bodyBytes) {
    if (hex.length() != 2 * HEX) {
      throw new IllegalArgumentException("a suspect's digest must have 32 hex digits: " + hex);
    }
    return new SuspectKey(
        Long.parseUnsignedLong(hex.substring(0, HEX), HEX),
        Long.parseUnsignedLong(hex.substring(HEX), HEX),
        bodyBytes);
  }
}
