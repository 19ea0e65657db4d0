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
 * <p>Loads are rationed: at most {@link #MAX_LOADS} at once, since more make each other slower,
 * never more than a quarter of a service's engines, and never so many that the rest could not carry
 * the requests that run now. A swap that could not go on for a while goes on with one engine at a
 * time all the same: old weights must not stay for ever because of load or of a dead engine.
 */
public final class RollPlan {
  /** Loads that run at once without slowing each other down. */
  public static final int MAX_LOADS = 3;

  private static final int LARGEST_SHARE = 4;

  /** Share of its places that an engine is loaded with while others are away. */
  private static final double FULLEST = 0.8;

  private RollPlan() {}

  /**
   * An engine as it says it is.
   *
   * @param reachable false if it does not answer; it then counts as loading, since nobody knows
   */
  public record EngineState(
      String name, boolean reachable, String version, boolean loading, int running) {}

  /**
   * What a service's engines have to do.
   *
   * @param places requests that one engine runs at once
   * @param overdue true if the swap could not go on for a while
   */
  public record Demand(int places, boolean overdue) {}

  /**
   * Returns the engines to give the order to now, the least busy first.
   *
   * @param loadsElsewhere loads of other services that are under way
   */
  public static List<String> next(
      List<EngineState> engines, String target, int loadsElsewhere, Demand demand) {
    int atOnce = Math.max(1, Math.min(MAX_LOADS, engines.size() / LARGEST_SHARE));
    int loading = 0;
    int silent = 0;
    List<EngineState> waiting = new ArrayList<>();
    for (EngineState engine : engines) {
      if (!engine.reachable()) {
        silent++;
      } else if (engine.loading()) {
        loading++;
      } else if (!engine.version().equals(target)) {
        waiting.add(engine);
      }
    }
    int away = loading + silent;
    int free = Math.min(atOnce - away, MAX_LOADS - away - loadsElsewhere);
    free = Math.min(free, spare(engines, away, demand.places()));
    if (demand.overdue() && loading == 0 && loadsElsewhere < MAX_LOADS) {
      free = Math.max(1, free);
    }
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

  /**
   * Engines that the requests which run now can do without; less than half an engine's worth of
   * requests can wait, so that a lone engine with little to do loads at once.
   */
  private static int spare(List<EngineState> engines, int away, int places) {
    int running = 0;
    for (EngineState engine : engines) {
      running += engine.running();
    }
    int needed = (int) Math.round(running / (FULLEST * Math.max(1, places)));
    return engines.size() - away - needed;
  }
}
