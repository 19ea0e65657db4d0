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

import java.util.List;

/** The content of a configuration object. Implementations are immutable. */
public sealed interface Spec permits Team, Service, Model, WeightVersion, BackendServer, Rule {

  /**
   * Checks the values of this spec, without other objects.
   *
   * @throws IllegalArgumentException with the key and the value that is not allowed
   */
  void check();

  /** Returns the objects that must exist for this one. */
  List<Reference> references();

  /** A reference to another object by kind and name. */
  record Reference(Kind kind, String name) {
    @Override
    public String toString() {
      return kind.label() + "/" + name;
    }
  }
}
