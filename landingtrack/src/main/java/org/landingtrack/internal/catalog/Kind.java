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

import java.util.Locale;
import java.util.Optional;

/** The kinds of configuration objects. */
public enum Kind {
  TEAM(Team.class),
  SERVICE(Service.class),
  MODEL(Model.class),
  WEIGHT_VERSION(WeightVersion.class),
  BACKEND_SERVER(BackendServer.class),
  RULE(Rule.class);

  private final Class<? extends Spec> specType;

  Kind(Class<? extends Spec> specType) {
    this.specType = specType;
  }

  /** Returns the record type of the specs of this kind. */
  public Class<? extends Spec> specType() {
    return specType;
  }

  /** Returns the name in keys, requests and messages, for example {@code weight-version}. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Finds a kind by its name in keys, requests and messages. */
  public static Optional<Kind> ofLabel(String label) {
    for (Kind kind : values()) {
      if (kind.label().equals(label)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
