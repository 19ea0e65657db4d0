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

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.landingtrack.internal.weights.RolloutPlanner.EngineState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which engines are selected to load new weights next, and how many at once. */
public final class RolloutPlannerTest {
  private static final RolloutPlanner.Conditions NOT_STALLED =
      new RolloutPlanner.Conditions(64, false);

  private static List<EngineState> engines(int old, int loading, int done, int unreachable) {
    List<EngineState> engines = new ArrayList<>();
    for (int i = 0; i < old; i++) {
      engines.add(new EngineState("old-" + i, true, "v1", false, old - i));
    }
    for (int i = 0; i < loading; i++) {
      engines.add(new EngineState("loading-" + i, true, "v1", true, 0));
    }
    for (int i = 0; i < done; i++) {
      engines.add(new EngineState("done-" + i, true, "v2", false, 0));
    }
    for (int i = 0; i < unreachable; i++) {
      engines.add(new EngineState("silent-" + i, false, "", false, 0));
    }
    return engines;
  }

  @DataProvider
  public Object[][] plans() {
    return new Object[][] {
      // engines: old version, loading, new version, unreachable; loads elsewhere; expected loads
      {12, 0, 0, 0, 0, 3},
      {10, 2, 0, 0, 0, 1},
      {9, 3, 0, 0, 0, 0},
      {12, 0, 0, 0, 2, 1},
      {12, 0, 0, 0, 3, 0},
      {4, 0, 0, 0, 0, 1},
      {1, 0, 0, 0, 0, 1},
      {3, 0, 0, 1, 0, 0},
      {0, 0, 12, 0, 0, 0},
      {2, 0, 10, 0, 0, 2},
    };
  }

  @Test(dataProvider = "plans")
  public void limitsConcurrentLoads(
      int old, int loading, int done, int unreachable, int loadsElsewhere, int expected) {
    List<String> next =
        RolloutPlanner.nextEngines(
            engines(old, loading, done, unreachable), "v2", loadsElsewhere, NOT_STALLED);
    assertEquals(next.size(), expected);
  }

  @Test
  public void leastBusyEngineLoadsFirst() {
    assertEquals(
        RolloutPlanner.nextEngines(engines(4, 0, 0, 0), "v2", 0, NOT_STALLED), List.of("old-3"));
  }

  @DataProvider
  public Object[][] demands() {
    return new Object[][] {
      // engines, requests on each (of at most 10), unreachable engines, stalled, expected loads
      {12, 0, 0, false, 3},
      {12, 5, 0, false, 3},
      {12, 6, 0, false, 3},
      {12, 7, 0, false, 1},
      {12, 8, 0, false, 0},
      {12, 10, 0, false, 0},
      {12, 10, 0, true, 1},
      {4, 1, 1, false, 0},
      {4, 1, 1, true, 1},
      {12, 0, 3, true, 1},
    };
  }

  /**
   * The remaining engines must have capacity for the requests in flight, but a stalled rollout goes
   * on despite high load or unreachable engines.
   */
  @Test(dataProvider = "demands")
  public void keepsCapacityForRunningRequests(
      int engines, int running, int dead, boolean stalled, int expected) {
    List<EngineState> states = new ArrayList<>();
    for (int i = 0; i < engines; i++) {
      boolean alive = i >= dead;
      states.add(new EngineState("e" + i, alive, alive ? "v1" : "", false, alive ? running : 0));
    }
    List<String> next =
        RolloutPlanner.nextEngines(states, "v2", 0, new RolloutPlanner.Conditions(10, stalled));
    assertEquals(next.size(), expected);
  }
}
