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
 * What stays the same when a caller sends a request again: its team, path and body. Another try has
 * another id and may come to another VM. The first 128 bits of a SHA-256, so that nobody finds a
 * request that is taken for somebody else's.
 *
 * @param bodyBytes length of the body, by which most requests are told apart without a digest
 */
public record RequestDigest(long high, long low, int bodyBytes) {
  private static final int HEX = 16;

  /**
   * Digests a request.
   *
   * @param team owner of the caller's key; empty where the route needs none
   * @param target path and query
   */
  public static RequestDigest of(
      String team, String method, String host, String target, byte[] body) {
    MessageDigest sha = Hashes.sha256();
    for (String text : new String[] {team, method, host, target}) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      // With the length of each, no two lists of texts are the same bytes.
      sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      sha.update(bytes);
    }
    ByteBuffer digest = ByteBuffer.wrap(sha.digest(body));
    return new RequestDigest(digest.getLong(), digest.getLong(), body.length);
  }

  /** Returns the digest in hex, as log lines tell it. */
  public String hex() {
    return String.format("%016x%016x", high, low);
  }

  /** Reads a digest that {@link #hex} wrote; throws {@link IllegalArgumentException} for others. */
  static RequestDigest parse(String hex, int bodyBytes) {
    if (hex.length() != 2 * HEX) {
      throw new IllegalArgumentException("no digest: " + hex);
    }
    return new RequestDigest(
        Long.parseUnsignedLong(hex.substring(0, HEX), HEX),
        Long.parseUnsignedLong(hex.substring(HEX), HEX),
        bodyBytes);
  }
}
