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

/**
 * A configured team. Immutable.
 *
 * @param isolated true if it shares no KV cache with other teams
 * @param priority the priority of its requests, which overrides the route's; -1 if it has none
 * @param allowedRegions the regions in which its requests may run
 */
public record Team(String name, boolean isolated, int priority, AllowedRegions allowedRegions) {
  /** Creates a team whose requests may run in all regions. */
  public Team(String name, boolean isolated, int priority) {
    this(name, isolated, priority, AllowedRegions.ALL_REGIONS);
  }
}
