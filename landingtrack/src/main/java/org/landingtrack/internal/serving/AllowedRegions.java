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

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Regions in which requests may run and their cached state may be stored.
 *
 * @param isRestricted false if all regions are allowed
 * @param regions the allowed regions, if not all are
 */
public record AllowedRegions(boolean isRestricted, Set<String> regions) {
  /** All regions are allowed. */
  public static final AllowedRegions ALL_REGIONS = new AllowedRegions(false, Set.of());

  public AllowedRegions {
    regions = Set.copyOf(regions);
  }

  /** Returns the regions that a configuration names; an empty collection means all. */
  public static AllowedRegions of(Collection<String> regions) {
    return regions.isEmpty() ? ALL_REGIONS : new AllowedRegions(true, Set.copyOf(regions));
  }

  /** Returns the regions that both allow. */
  AllowedRegions intersect(AllowedRegions other) {
    if (!isRestricted) {
      return other;
    }
    if (!other.isRestricted) {
      return this;
    }
    Set<String> common = new HashSet<>(regions);
    common.retainAll(other.regions);
    return new AllowedRegions(true, common);
  }

  /**
   * Returns true if a region is allowed. An unknown region (null) is only allowed if all regions
   * are.
   */
  boolean allows(@Nullable String region) {
    return !isRestricted || (region != null && regions.contains(region));
  }
}
