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
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.weights.VersionRollout.Task;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class VersionRolloutTest {
  private static final long LEASE_MS = 1_500;
  private static final long SETTLE_MS = 3_400;
  private static final long STEP_MS = 150;

  private FakeTicker ticker = new FakeTicker();
  private FakeObjectApi api = new FakeObjectApi();
  private Engines engines = new Engines();

  @BeforeMethod
  public void newWorld() {
    ticker = new FakeTicker();
    ticker.pass(100_000);
    api = new FakeObjectApi();
    engines = new Engines();
  }

  /** Engines whose reports are as old as the test says; loads end when it says. */
  private static final class Engines implements EngineControl {
    final List<String> orders = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Report> reports = new HashMap<>();

    Engines() {
      for (int i = 1; i <= 6; i++) {
        reports.put("e" + i, new Report(Map.of("m", 1L), false, 0, 0));
      }
    }

    @Override
    public Report report(Engine engine) {
      Report report = reports.get(engine.id());
      if (report == null) {
        throw new EngineSilentException(engine.id(), new java.io.IOException("dark"));
      }
      return report;
    }

    @Override
    public Outcome load(Engine engine, LoadOrder order) {
      orders.add(engine.id() + " v" + order.version() + " epoch " + order.epoch());
      return Outcome.TAKEN;
    }

    List<Task> lagging(long version) {
      List<Task> tasks = new ArrayList<>();
      for (int i = 1; i <= 6; i++) {
        Report report = reports.get("e" + i);
        if (report == null || report.weightVersions().get("m") < version) {
          tasks.add(new Task(new Engine("e" + i, "10.0.0.1:80"), "m", version));
        }
      }
      return tasks;
    }
  }

  private VersionRollout rollout(String self, List<Task> tasks) {
    Lease lease = new Lease(api, ticker, "weights", self, LEASE_MS);
    return new VersionRollout(self, () -> tasks, lease, engines, ticker, SETTLE_MS, model -> 3);
  }

  private void steps(VersionRollout rollout, int count) {
    for (int i = 0; i < count; i++) {
      rollout.step();
      ticker.pass(STEP_MS);
    }
  }

  @Test
  public void threeLoadAtOnceAndNoneIsOrderedTwice() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 6);
    assertEquals(sorted(), List.of("e1 v2 epoch 1", "e2 v2 epoch 1", "e3 v2 epoch 1"));
  }

  @Test
  public void theNextFollowWhenLoadsEnd() {
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout rollout = rollout("a", tasks);
    steps(rollout, 6);
    tasks.subList(0, 3).clear();
    steps(rollout, 1);
    assertEquals(engines.orders.size(), 6);
  }

  @Test
  public void aSilentEngineHoldsUpNoOther() {
    List<Task> tasks = engines.lagging(2);
    engines.reports.remove("e1");
    engines.reports.remove("e2");
    steps(rollout("a", tasks), 6);
    assertEquals(sorted(), List.of("e3 v2 epoch 1", "e4 v2 epoch 1", "e5 v2 epoch 1"));
  }

  @Test
  public void anOrderThatDidNothingIsGivenAgain() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 12);
    assertTrue(engines.orders.size() > 3, engines.orders.toString());
  }

  /** Engines do not check fences: orders of two holders must be far apart. */
  @Test
  public void aNewHolderWaitsOutTheOneBefore() {
    VersionRollout first = rollout("a", engines.lagging(2));
    steps(first, 6);
    int before = engines.orders.size();
    long lastOrderMs = ticker.millis();
    VersionRollout second = rollout("b", engines.lagging(2));
    while (engines.orders.size() == before) {
      steps(second, 1);
      assertTrue(ticker.millis() - lastOrderMs < 20_000, "the second never orders");
    }
    long apartMs = ticker.millis() - lastOrderMs;
    assertTrue(apartMs >= LEASE_MS + SETTLE_MS, "only " + apartMs + " ms apart");
    assertTrue(engines.orders.get(before).endsWith("epoch 2"), engines.orders.toString());
    engines.orders.clear();
    steps(first, 4);
    assertEquals(engines.orders, List.of(), "the first goes on beside the second");
  }

  @Test
  public void withoutTheStoreOrdersEnd() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 4);
    api.out(true);
    ticker.pass(LEASE_MS);
    engines.orders.clear();
    steps(rollout, 10);
    assertEquals(engines.orders, List.of());
  }

  @Test
  public void nothingIsAskedWhileNothingLags() {
    steps(rollout("a", List.of()), 20);
    assertEquals(api.writes(), 0);
  }

  private List<String> sorted() {
    List<String> sorted = new ArrayList<>(engines.orders);
    Collections.sort(sorted);
    return sorted;
  }
}
