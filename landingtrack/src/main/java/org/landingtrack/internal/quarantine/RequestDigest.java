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
 * Digest that identifies a request across retries of its caller, from its team, method, host,
 * target and body. A retry has another request id and may arrive at another VM. It is the first 128
 * bits of a SHA-256, so nobody can construct a request with the digest of another one.
 *
 * @param bodyBytes length of the body; it distinguishes most requests without computing a digest
 */
public record RequestDigest(long high, long low, int bodyBytes) {
  private static final int HEX = 16;

  /**
   * Computes the digest of a request.
   *
   * @param team owner of the caller's key; empty where the route needs none
   * @param target path and query
   */
  public static RequestDigest of(
      String team, String method, String host, String target, byte[] body) {
    MessageDigest sha = Hashes.sha256();
    for (String text : new String[] {team, method, host, target}) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      // The length before each text keeps different lists of texts from giving the same bytes.
      sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      sha.update(bytes);
    }
    ByteBuffer digest = ByteBuffer.wrap(sha.digest(body));
    return new RequestDigest(digest.getLong(), digest.getLong(), body.length);
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
  static RequestDigest parse(String hex, int bodyBytes) {
    if (hex.length() != 2 * HEX) {
      throw new IllegalArgumentException("a request digest must have 32 hex digits: " + hex);
    }
    return new RequestDigest(
        Long.parseUnsignedLong(hex.substring(0, HEX), HEX),
        Long.parseUnsignedLong(hex.substring(HEX), HEX),
        bodyBytes);
  }
}
