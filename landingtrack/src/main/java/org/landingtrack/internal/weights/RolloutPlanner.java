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
 * Selects the engines of a service that load a new weight version next. Does no I/O.
 *
 * <p>The number of concurrent loads is limited: to {@link #MAX_CONCURRENT_LOADS}, since more slow
 * each other down; to a quarter of the service's engines; and such that the remaining engines can
 * serve the requests in flight. A rollout that has stalled continues with one engine at a time even
 * if requests or unreachable engines use up these limits, so that neither high load nor an
 * unreachable engine keeps old weights in use forever.
 */
public final class RolloutPlanner {
  /** Maximum number of concurrent loads; so many do not slow each other down. */
  public static final int MAX_CONCURRENT_LOADS = 3;

  /** A service may have one concurrent load for each group of this many engines. */
  private static final int ENGINES_PER_LOAD = 4;

  /** Utilization up to which the remaining engines are planned while others load. */
  private static final double MAX_UTILIZATION = 0.8;

  private RolloutPlanner() {}

  /**
   * The state of an engine.
   *
   * @param reachable false if the engine does not answer; it then counts as loading, since its
   *     state is unknown
   * @param version the loaded weight version
   * @param runningRequests number of requests in flight
   */
  public record EngineState(
      String name, boolean reachable, String version, boolean loading, int runningRequests) {}

  /**
   * What the plan depends on besides the engines' state.
   *
   * @param maxConcurrentRequests maximum number of concurrent requests of one engine
   * @param stalled true if the rollout has stalled
   */
  public record Conditions(int maxConcurrentRequests, boolean stalled) {}

  /**
   * Returns the names of the engines to order to load the target version now, the least busy first.
   *
   * @param loadsElsewhere number of running loads of other services
   */
  public static List<String> nextEngines(
      List<EngineState> engines, String target, int loadsElsewhere, Conditions conditions) {
    int maxLoads = Math.max(1, Math.min(MAX_CONCURRENT_LOADS, engines.size() / ENGINES_PER_LOAD));
    int loading = 0;
    int unreachable = 0;
    List<EngineState> waiting = new ArrayList<>();
    for (EngineState engine : engines) {
      if (!engine.reachable()) {
        unreachable++;
      } else if (engine.loading()) {
        loading++;
      } else if (!engine.version().equals(target)) {
        waiting.add(engine);
      }
    }
    int unavailable = loading + unreachable;
    int free =
        Math.min(maxLoads - unavailable, MAX_CONCURRENT_LOADS - unavailable - loadsElsewhere);
    free = Math.min(free, spareEngines(engines, unavailable, conditions.maxConcurrentRequests()));
    if (conditions.stalled() && loading == 0 && loadsElsewhere < MAX_CONCURRENT_LOADS) {
      free = Math.max(1, free);
    }
    waiting.sort(
        Comparator.comparingInt(EngineState::runningRequests).thenComparing(EngineState::name));
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
   * Returns the number of engines that are not needed for the requests in flight. Rounds the number
   * of needed engines, so that less than half an engine's load is ignored and the only engine of a
   * service loads at once if it has little to do.
   */
  private static int spareEngines(List<EngineState> engines, int unavailable, int maxConcurrent) {
    int running = 0;
    for (EngineState engine : engines) {
      running += engine.runningRequests();
    }
    int needed = (int) Math.round(running / (MAX_UTILIZATION * Math.max(1, maxConcurrent)));
    return engines.size() - unavailable - needed;
  }
}
