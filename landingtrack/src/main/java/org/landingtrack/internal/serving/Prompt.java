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
 * What the caller tells about the prompt of a request to a model engine.
 *
 * @param model the model that is to answer
 * @param maxOutputTokens the most tokens that it may generate
 * @param parts the prompt's parts in order; the last one belongs to this request or its session
 */
public record Prompt(String model, int maxOutputTokens, List<Part> parts) {
  public Prompt {
    parts = List.copyOf(parts);
  }

  /** A part of a prompt with a key that is the same wherever its content is. */
  public record Part(String key, int tokens) {}

  /** Returns the tokens of all parts. */
  public int tokens() {
    int sum = 0;
    for (Part part : parts) {
      sum += part.tokens();
    }
    return sum;
  }

  /** Returns the most memory of an engine that the request takes, in tokens. */
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
