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
 * A version of a model's weights.
 *
 * @param model the model's name
 * @param source location of the weights in the weight store
 */
public record WeightVersion(
    @JsonProperty(required = true) String model, @JsonProperty(required = true) String source)
    implements Spec {

  @Override
  public void check() {
    SpecChecks.name("model", model);
    SpecChecks.matches("source", source, ".{1,500}", "1 to 500 characters");
  }

  @Override
  public List<Reference> references() {
    return List.of(new Reference(Kind.MODEL, model));
  }
}
