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
package org.landingtrack.internal.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which engines load a new weight version next. Does no I/O.
 *
 * <p>Loads are rationed: at most {@link #MAX_LOADS} at once, since more make each other slower, and
 * never more than a quarter of a service's engines, so that the rest carry the demand.
 */
public final class RollPlan {
  /** Loads that run at once without slowing each other down. */
  public static final int MAX_LOADS = 3;

  private static final int LARGEST_SHARE = 4;

  private RollPlan() {}

  /**
   * An engine as it says it is.
   *
   * @param reachable false if it does not answer; it then counts as loading, since nobody knows
   */
  public record EngineState(
      String name, boolean reachable, String version, boolean loading, int running) {}

  /** Returns the engines to give the order to now, the least busy first. */
  public static List<String> next(List<EngineState> engines, String target, int loadsElsewhere) {
    int atOnce = Math.max(1, Math.min(MAX_LOADS, engines.size() / LARGEST_SHARE));
    int loading = 0;
    List<EngineState> waiting = new ArrayList<>();
    for (EngineState engine : engines) {
      if (!engine.reachable() || engine.loading()) {
        loading++;
      } else if (!engine.version().equals(target)) {
        waiting.add(engine);
      }
    }
    int free = Math.min(atOnce - loading, MAX_LOADS - loading - loadsElsewhere);
    waiting.sort(Comparator.comparingInt(EngineState::running).thenComparing(EngineState::name));
    List<String> next = new ArrayList<>();
    for (EngineState engine : waiting) {
      if (next.size() >= free) {
        break;
      }
      next.add(engine.name());
    }
    return next;
  }
}
