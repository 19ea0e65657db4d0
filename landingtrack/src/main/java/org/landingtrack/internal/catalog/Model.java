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
package org.landingtrack.internal.catalog;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A model, with its context length and the size of its KV cache.
 *
 * @param contextTokens maximum length of prompt and answer together, in tokens
 * @param kvBytesPerToken size of the KV cache of one token, in bytes
 */
public record Model(
    @JsonProperty(required = true) int contextTokens,
    @JsonProperty(required = true) int kvBytesPerToken)
    implements Spec {

  @Override
  public void check() {
    SpecChecks.range("contextTokens", contextTokens, 1, 100_000_000);
    SpecChecks.range("kvBytesPerToken", kvBytesPerToken, 1, 100_000_000);
  }

  @Override
  public List<Reference> references() {
    return List.of();
  }
}
