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
package org.landingtrack.internal.base;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.function.Function;

/**
 * Hash functions by purpose: fast 64-bit ones for placement only, and SHA-256 where a cryptographic
 * hash is needed. Thread-safe.
 */
public final class Hashes {
  /** Low bits of a 64-bit hash beyond the 53 bits of precision of a double. */
  private static final int DISCARDED_BITS = 11;

  private static final double UNIT_SCALE = 0x1.0p-53;

  private Hashes() {}

  /** Returns a fast 64-bit hash of a key and a node, for placement only. */
  public static long placement(String key, String node) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(node).getAsLong();
  }

  /** Returns a fast 64-bit hash of a text, for placement only. */
  public static long placement(String text) {
    return Hashing.komihash5_0().hashCharsToLong(text);
  }

  /** Returns a fast 64-bit hash of bytes, for placement only. */
  public static long placement(byte[] bytes) {
    return Hashing.komihash5_0().hashBytesToLong(bytes);
  }

  /**
   * Returns the hash of two hashes: the rendezvous weight of a node for a key, from the hashes of
   * both. Much cheaper than hashing the texts again for each pair.
   */
  public static long combine(long keyHash, long nodeHash) {
    return Hashing.komihash5_0().hashLongLongToLong(keyHash, nodeHash);
  }

  /** Maps a hash evenly to a number from 0 (inclusive) to 1 (exclusive). */
  public static double toUnitInterval(long hash) {
    return (hash >>> DISCARDED_BITS) * UNIT_SCALE;
  }

  /** Sorts nodes by rendezvous weight for a key, highest first; ties by name. */
  public static <T> List<T> rendezvous(String key, Collection<T> nodes, Function<T, String> name) {
    record Weighed<T>(T node, String name, long weight) {}
    List<Weighed<T>> weighed = new ArrayList<>(nodes.size());
    for (T node : nodes) {
      String id = name.apply(node);
      weighed.add(new Weighed<>(node, id, placement(key, id)));
    }
    weighed.sort(
        Comparator.comparingLong((Weighed<T> w) -> w.weight)
            .reversed()
            .thenComparing(Weighed::name));
    List<T> ordered = new ArrayList<>(weighed.size());
    for (Weighed<T> w : weighed) {
      ordered.add(w.node);
    }
    return ordered;
  }

  /** Returns a new SHA-256 digest. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Returns the SHA-256 of a text in lower-case hex. */
  public static String sha256Hex(String text) {
    return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
  }
}
