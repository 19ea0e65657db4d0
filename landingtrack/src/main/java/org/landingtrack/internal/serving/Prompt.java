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

import java.util.List;

/**
 * Describes the prompt of a request to a model engine, as given by the caller.
 *
 * @param model the name of the model
 * @param maxOutputTokens the most tokens that the model may generate
 * @param parts the parts of the prompt in order; the last one is not shared with other sessions
 */
public record Prompt(String model, int maxOutputTokens, List<Part> parts) {
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** A part of a prompt. Equal content has the same key in all prompts. */
  public record Part(String key, int tokens) {}

  /** Returns the number of tokens of all parts. */
  public int tokens() {
    int sum = 0;
    for (Part part : parts) {
      sum += part.tokens();
    }
    return sum;
  }

  /** Returns the most KV cache that the request takes at an engine, in tokens. */
  public long memoryTokens() {
    return (long) tokens() + maxOutputTokens;
  }

  /** Returns the key of the last part that other requests share, or of the only part. */
  public String sessionKey() {
    if (parts.isEmpty()) {
      return "";
    }
    return parts.get(Math.max(0, parts.size() - 2)).key();
  }
}
