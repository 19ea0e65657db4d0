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
 * Grants a team the use of a service. For a team without such a rule the service does not exist.
 *
 * @param maxPriority the highest priority that the team may request, 0 to 9
 */
public record Rule(
    @JsonProperty(required = true) String team,
    @JsonProperty(required = true) String service,
    int maxPriority)
    implements Spec {

  @Override
  public void check() {
    SpecChecks.name("team", team);
    SpecChecks.name("service", service);
    SpecChecks.range("maxPriority", maxPriority, 0, 9);
  }

  @Override
  public List<Reference> references() {
    return List.of(new Reference(Kind.TEAM, team), new Reference(Kind.SERVICE, service));
  }
}
