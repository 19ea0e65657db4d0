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

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which parts of prompts an engine probably keeps. While the engine tells what it keeps, that is
 * believed, with what was sent there since; otherwise only what this VM sent there itself is known,
 * and how much of it gave way is guessed. Parts are named by scope and key.
 */
final class KeptParts {
  /** What an engine told is believed for so long after its last answer: four calls of a feed. */
  static final long TOLD_MS = 2_500;

  /** A part that was sent is expected to be told of within so long: reading it, and the event. */
  private static final long EXPECTED_MS = 1_500;

  /** Share of an engine's memory that parts which this VM sent are assumed to keep. */
  private static final double GUESSED_SHARE = 0.3;

  private final Map<String, Integer> told = new HashMap<>();
  private final Map<String, Expected> expected = new LinkedHashMap<>();
  private final Map<String, Integer> guessed = new LinkedHashMap<>(16, 0.75f, true);
  private long guessedTokens;
  private long toldAtMs = Long.MIN_VALUE / 2;

  private record Expected(int tokens, long untilMs) {}

  /** Takes all that the engine keeps. */
  void listed(Map<String, Integer> parts, long nowMs) {
    told.clear();
    told.putAll(parts);
    toldAtMs = nowMs;
  }

  /** Takes what the engine keeps of a part now. */
  void changed(String part, int tokens, long nowMs) {
    toldAtMs = nowMs;
    expected.remove(part);
    if (tokens > 0) {
      told.put(part, tokens);
    } else {
      told.remove(part);
    }
  }

  /** Notes that the engine answered, whether or not anything had changed. */
  void confirmed(long nowMs) {
    toldAtMs = nowMs;
  }

  /** Returns true while the engine tells what it keeps. */
  boolean isTold(long nowMs) {
    return nowMs - toldAtMs <= TOLD_MS;
  }

  /** Notes that a prompt was sent to the engine, which will keep its parts. */
  void sent(String scope, Prompt prompt, long nowMs) {
    for (Prompt.Part part : prompt.parts()) {
      String key = scope + '/' + part.key();
      expected.remove(key);
      expected.put(key, new Expected(part.tokens(), nowMs + EXPECTED_MS));
    }
    var eldest = expected.entrySet().iterator();
    while (eldest.hasNext() && eldest.next().getValue().untilMs() <= nowMs) {
      eldest.remove();
    }
  }

  /** Notes that the engine read a prompt. */
  void read(String scope, Prompt prompt, int cacheTokens) {
    for (Prompt.Part part : prompt.parts()) {
      Integer before = guessed.put(scope + '/' + part.key(), part.tokens());
      guessedTokens += part.tokens() - (before == null ? 0 : before);
    }
    long limit = (long) (cacheTokens * GUESSED_SHARE);
    var eldest = guessed.entrySet().iterator();
    while (guessedTokens > limit && eldest.hasNext()) {
      guessedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /** Returns how many tokens of a part the engine keeps or is about to. */
  int tokens(String scope, Prompt.Part part, long nowMs) {
    String key = scope + '/' + part.key();
    if (!isTold(nowMs)) {
      return guessed.containsKey(key) ? part.tokens() : 0;
    }
    Expected sent = expected.get(key);
    if (sent != null && nowMs < sent.untilMs()) {
      return part.tokens();
    }
    return Math.min(part.tokens(), told.getOrDefault(key, 0));
  }

  /** Returns true if the engine told that it keeps a whole part. */
  boolean holds(String scope, Prompt.Part part, long nowMs) {
    return isTold(nowMs) && told.getOrDefault(scope + '/' + part.key(), 0) >= part.tokens();
  }

  /** Returns how many leading tokens of a prompt the engine keeps or is about to. */
  int leadingTokens(String scope, Prompt prompt, long nowMs) {
    int sum = 0;
    for (Prompt.Part part : prompt.parts()) {
      int tokens = tokens(scope, part, nowMs);
      sum += tokens;
      if (tokens < part.tokens()) {
        break;
      }
    }
    return sum;
  }

  /**
   * Forgets what was guessed, after the engine's weights changed. What the engine tells stays: it
   * tells itself what it dropped, and a scope names the weights.
   */
  void weightsChanged() {
    expected.clear();
    guessed.clear();
    guessedTokens = 0;
  }
}
