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

import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The API keys of a configuration. Whether callers need one is stated apart from the keys that
 * exist, so that taking away the last one admits nobody. Immutable.
 *
 * @param required true if callers need a key, except on public routes
 * @param teamsByKey the team of each key
 */
public record ApiKeys(boolean required, Map<String, Team> teamsByKey) {
  /** Keys of a configuration without teams: callers need none. */
  public static final ApiKeys NOT_REQUIRED = new ApiKeys(false, Map.of());

  public ApiKeys {
    teamsByKey = Map.copyOf(teamsByKey);
  }

  /** Returns keys of which callers need one. */
  public static ApiKeys required(Map<String, Team> teamsByKey) {
    return new ApiKeys(true, teamsByKey);
  }

  /** Returns the team that a key belongs to. */
  Optional<Team> team(@Nullable String key) {
    return key == null ? Optional.empty() : Optional.ofNullable(teamsByKey.get(key));
  }
}
