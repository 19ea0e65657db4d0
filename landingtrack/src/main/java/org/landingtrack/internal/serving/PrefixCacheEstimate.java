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

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the contents of an engine's prefix cache: the prompt parts that this VM sent there
 * itself, least recently used first out, up to a share of the engine's memory. Parts are identified
 * by scope and key. Not thread-safe; used on the event loop.
 */
final class PrefixCacheEstimate {
  /** Share of an engine's memory that the parts sent by this VM are assumed to occupy. */
  private static final double CACHED_SHARE = 0.3;

  private final Map<String, Integer> cachedParts = new LinkedHashMap<>(16, 0.75f, true);
  private long cachedTokens;

  /** Records that the engine prefilled a prompt; {@code cacheTokens} is its capacity. */
  void recordPrefill(String scope, Prompt prompt, int cacheTokens) {
    for (Prompt.Part part : prompt.parts()) {
      Integer previous = cachedParts.put(scope + '/' + part.key(), part.tokens());
      cachedTokens += part.tokens() - (previous == null ? 0 : previous);
    }
    long limit = (long) (cacheTokens * CACHED_SHARE);
    var eldest = cachedParts.entrySet().iterator();
    while (cachedTokens > limit && eldest.hasNext()) {
      cachedTokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /** Returns true if the engine has probably cached a part. */
  boolean contains(String scope, String partKey) {
    return cachedParts.containsKey(scope + '/' + partKey);
  }

  /** Returns the number of leading tokens of a prompt that the engine has probably cached. */
  int cachedPrefixTokens(String scope, Prompt prompt) {
    return cachedPrefixTokens(PartStores.keys(scope, prompt), prompt);
  }

  /**
   * Returns the number of leading tokens of a prompt that the engine has probably cached.
   *
   * @param keys the keys of the prompt's parts, from {@link PartStores#keys}
   */
  int cachedPrefixTokens(List<String> keys, Prompt prompt) {
    int sum = 0;
    for (int i = 0; i < keys.size() && cachedParts.containsKey(keys.get(i)); i++) {
      sum += prompt.parts().get(i).tokens();
    }
    return sum;
  }

  /** Removes all parts; called after the engine's weights changed. */
  void clear() {
    cachedParts.clear();
    cachedTokens = 0;
  }
}
