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
package org.landingtrack.internal.prefix;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.landingtrack.internal.base.Hashes;

/**
 * The chained content hashes (block keys) of a prompt's blocks. Immutable.
 *
 * <p>Each key hashes its block, everything before it, and a salt of team, service and weight
 * version. A block of another team, service or version therefore never has the same key.
 *
 * @param keys one key per whole block, in order; 32 hex digits (128 bits of SHA-256) each
 * @param promptBytes length of the whole prompt in bytes of UTF-8
 */
public record PrefixChain(List<String> keys, int promptBytes) {
  /** Prompt bytes per block. */
  public static final int BLOCK_BYTES = 2_048;

  /** Estimated prompt bytes per token. */
  public static final int BYTES_PER_TOKEN = 4;

  /** Estimated tokens per block. */
  public static final int BLOCK_TOKENS = BLOCK_BYTES / BYTES_PER_TOKEN;

  /** Blocks beyond this number get no key. */
  private static final int MAX_BLOCKS = 512;

  private static final int KEY_BYTES = 16;

  public PrefixChain {
    keys = List.copyOf(keys);
  }

  /** Computes the block keys of a prompt. */
  public static PrefixChain of(String team, String service, String weightVersion, String prompt) {
    byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
    MessageDigest digest = Hashes.sha256();
    byte[] previous = salt(digest, team, service, weightVersion);
    int blocks = Math.min(MAX_BLOCKS, bytes.length / BLOCK_BYTES);
    List<String> keys = new ArrayList<>(blocks);
    for (int i = 0; i < blocks; i++) {
      digest.update(previous);
      digest.update(bytes, i * BLOCK_BYTES, BLOCK_BYTES);
      previous = digest.digest();
      keys.add(HexFormat.of().formatHex(previous, 0, KEY_BYTES));
    }
    return new PrefixChain(keys, bytes.length);
  }

  private static byte[] salt(MessageDigest digest, String... parts) {
    for (String part : parts) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      // The length prefix makes ("ab", "c") and ("a", "bc") hash differently.
      digest.update((byte) (bytes.length >> 8));
      digest.update((byte) bytes.length);
      digest.update(bytes);
    }
    return digest.digest();
  }

  /**
   * Returns the key of the first block, which selects the controller that tracks the holders of
   * this prompt; empty if the prompt is shorter than a block.
   */
  public String groupKey() {
    return keys.isEmpty() ? "" : keys.get(0);
  }

  /** Returns the number of blocks with a key. */
  public int depth() {
    return keys.size();
  }

  /** Returns the estimated number of tokens of the prompt, at least 1. */
  public int promptTokens() {
    return Math.max(1, promptBytes / BYTES_PER_TOKEN);
  }

  /** Returns the estimated number of tokens to compute if blocks are reused, at least 1. */
  public int remainingTokens(int reusedBlocks) {
    return Math.max(1, promptTokens() - reusedBlocks * BLOCK_TOKENS);
  }
}
