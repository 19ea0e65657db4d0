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
package org.landingtrack.internal.explain;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the sentences that explain one request, in order, {@link #MAX_SENTENCES} at most. Not
 * thread-safe.
 */
public final class ExplanationBuilder {
  private static final int MAX_SENTENCES = 64;

  private final List<String> sentences = new ArrayList<>();

  /** Adds a sentence; does nothing if the maximum is reached. */
  public void add(String sentence) {
    if (sentences.size() < MAX_SENTENCES) {
      sentences.add(sentence);
    }
  }

  /** Returns the sentences added so far. */
  public List<String> sentences() {
    return List.copyOf(sentences);
  }
}
