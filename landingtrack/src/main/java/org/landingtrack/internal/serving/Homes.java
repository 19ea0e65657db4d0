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
 * @param bind false if all regions are allowed
 * @param regions the allowed regions, if not all are
 */
public record Homes(boolean bind, Set<String> regions) {
  /** All regions are allowed. */
  public static final Homes ANYWHERE = new Homes(false, Set.of());

  public Homes {
    regions = Set.copyOf(regions);
  }

  /** Returns the regions that a configuration names; an empty collection means all. */
  public static Homes of(Collection<String> regions) {
    return regions.isEmpty() ? ANYWHERE : new Homes(true, Set.copyOf(regions));
  }

  /** Returns the regions that both allow. */
  Homes and(Homes other) {
    if (!bind) {
      return other;
    }
    if (!other.bind) {
      return this;
    }
    Set<String> common = new HashSet<>(regions);
    common.retainAll(other.regions);
    return new Homes(true, common);
  }

  /**
   * Returns true if a region is allowed. An unknown region (null) is only allowed if all regions
   * are.
   */
  boolean allow(@Nullable String region) {
    return !bind || (region != null && regions.contains(region));
  }
}
