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
package org.landingtrack.internal.routing;

import java.util.List;
import java.util.Optional;

/**
 * The result of a routing decision.
 *
 * @param options options in order of preference; the first is selected
 * @param rejectionReasons reasons why other candidates or restores were not considered, one
 *     sentence each
 */
public record RouteDecision(List<RouteOption> options, List<String> rejectionReasons) {
  public RouteDecision {
    options = List.copyOf(options);
    rejectionReasons = List.copyOf(rejectionReasons);
  }

  /** Returns the selected option; empty if no server is usable. */
  public Optional<RouteOption> chosen() {
    return options.isEmpty() ? Optional.empty() : Optional.of(options.get(0));
  }
}
