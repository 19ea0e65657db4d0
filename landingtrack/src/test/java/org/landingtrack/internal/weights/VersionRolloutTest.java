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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.weights.VersionRollout.Task;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the load orders of a rollout with slow, unreachable and restarted engines, and with changes
 * of the lease holder.
 */
public final class VersionRolloutTest {
  private static final long LEASE_MS = 1_500;
  private static final long HANDOVER_DELAY_MS = 3_400;
  private static final long STEP_MS = 150;
  private static final long FIRST_START_MS = 1_700_000_000_000L;
  private static final long SECOND_START_MS = FIRST_START_MS + 20_000;

  private FakeTicker ticker = new FakeTicker();
  private FakeObjectApi api = new FakeObjectApi();
  private FakeEngines engines = new FakeEngines();
  private boolean isCandidate = true;
  private boolean reachesEngines = true;
  private ManualExecutor reportExecutor = new ManualExecutor();
  private ManualExecutor orderExecutor = new ManualExecutor();

  @BeforeMethod
  public void setUp() {
    ticker = new FakeTicker();
    ticker.advance(100_000);
    api = new FakeObjectApi();
    engines = new FakeEngines();
    isCandidate = true;
    reachesEngines = true;
    reportExecutor = new ManualExecutor();
    orderExecutor = new ManualExecutor();
  }

  /** Engines whose reports the test sets; an order changes no report by itself. */
  private static final class FakeEngines implements EngineControl {
    final List<String> orders = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Report> reports = new HashMap<>();
    final List<String> polledIds = new ArrayList<>();
    final Map<String, Long> expectedOrdersTaken = new HashMap<>();
    Outcome outcome = Outcome.TAKEN;

    FakeEngines() {
      for (int i = 1; i <= 6; i++) {
        reports.put("e" + i, new Report(Map.of("m", 1L), false, 0, 0, 0));
      }
    }

    @Override
    public Report report(Engine engine) {
      polledIds.add(engine.id());
      Report report = reports.get(engine.id());
      if (report == null) {
        throw new EngineUnavailableException(engine.id(), new java.io.IOException("dark"));
      }
      return report;
    }

    @Override
    public Outcome load(Engine engine, LoadOrder order) {
      expectedOrdersTaken.put(engine.id(), order.expectedOrdersTaken());
      orders.add(engine.id() + " v" + order.version() + " epoch " + order.epoch());
      return outcome;
    }

    List<Task> lagging(long version) {
      List<Task> tasks = new ArrayList<>();
      for (int i = 1; i <= 6; i++) {
        Report report = reports.get("e" + i);
        if (report == null || report.weightVersions().get("m") < version) {
          tasks.add(new Task(new Engine("e" + i, "10.0.0.1:80", 0), "m", version));
        }
      }
      return tasks;
    }
  }

  private VersionRollout createRollout(String self, List<Task> tasks) {
    Lease lease = new Lease(api, ticker, ticker::millis, "weights", self, LEASE_MS);
    return new VersionRollout(
        self,
        () -> tasks,
        lease,
        engines,
        ticker,
        ticker::millis,
        HANDOVER_DELAY_MS,
        model -> 3,
        () -> isCandidate,
        () -> reachesEngines,
        reportExecutor,
        orderExecutor);
  }

  private void runSteps(VersionRollout rollout, int count) {
    for (int i = 0; i < count; i++) {
      rollout.step();
      ticker.advance(STEP_MS);
    }
  }

  @Test
  public void limitsConcurrentLoadsAndOrdersEachOnce() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 6);
    assertEquals(sortedOrders(), List.of("e1 v2 epoch 1", "e2 v2 epoch 1", "e3 v2 epoch 1"));
  }

  @Test
  public void ordersNextLoadsWhenLoadsEnd() {
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout rollout = createRollout("a", tasks);
    runSteps(rollout, 6);
    tasks.subList(0, 3).clear();
    runSteps(rollout, 1);
    assertEquals(engines.orders.size(), 6);
  }

  @Test
  public void unresponsiveEngineDoesNotDelayOthers() {
    List<Task> tasks = engines.lagging(2);
    engines.reports.remove("e1");
    engines.reports.remove("e2");
    runSteps(createRollout("a", tasks), 6);
    assertEquals(sortedOrders(), List.of("e3 v2 epoch 1", "e4 v2 epoch 1", "e5 v2 epoch 1"));
  }

  @Test
  public void repeatsOrderWithoutEffect() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 12);
    assertTrue(engines.orders.size() > 3, engines.orders.toString());
  }

  /** Engines do not check fencing tokens, so orders of two holders must be far apart. */
  @Test
  public void newHolderWaitsForOrdersOfPreviousHolder() {
    VersionRollout first = createRollout("a", engines.lagging(2));
    runSteps(first, 6);
    int before = engines.orders.size();
    long lastOrderMs = ticker.millis();
    VersionRollout second = createRollout("b", engines.lagging(2));
    while (engines.orders.size() == before) {
      runSteps(second, 1);
      assertTrue(ticker.millis() - lastOrderMs < 20_000, "the new holder never sends an order");
    }
    long gapMs = ticker.millis() - lastOrderMs;
    assertTrue(
        gapMs >= LEASE_MS + HANDOVER_DELAY_MS, "orders of two holders only " + gapMs + " ms apart");
    assertTrue(engines.orders.get(before).endsWith("epoch 2"), engines.orders.toString());
    engines.orders.clear();
    runSteps(first, 4);
    assertEquals(engines.orders, List.of(), "the first holder sends orders beside the second");
  }

  @Test
  public void sendsNoOrdersDuringStoreOutage() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 4);
    api.outage(true);
    ticker.advance(LEASE_MS);
    engines.orders.clear();
    runSteps(rollout, 10);
    assertEquals(engines.orders, List.of());
  }

  @Test
  public void writesNothingWhileNothingLags() {
    runSteps(createRollout("a", List.of()), 20);
    assertEquals(api.writes(), 0);
  }

  /** An unanswered order may be carried out seconds later; meanwhile the other engines load. */
  @Test
  public void unansweredOrderDoesNotDelayOthers() {
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    runSteps(createRollout("a", engines.lagging(2)), 9);
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3", "e4", "e5", "e6"));
  }

  /** Orders without an effect are repeated, the oldest first. */
  @Test
  public void repeatsUnansweredOrdersOldestFirst() {
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    runSteps(createRollout("a", engines.lagging(2)), 16);
    assertEquals(
        orderedEngineIds(),
        List.of("e1", "e2", "e3", "e4", "e5", "e6", "e1", "e2", "e3", "e4", "e5", "e6"));
  }

  /** Draining ten requests at a sixth of the usual speed delays an engine's load by 8 s. */
  @Test
  public void drainingEngineCountsAsLoadingForLimitedTime() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 4);
    setFirstThreeBusy(10);
    runSteps(rollout, (int) (EngineView.DRAINING_LOAD_MS / STEP_MS));
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3"));
    runSteps(rollout, 2);
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3", "e4", "e5", "e6"));
  }

  @Test
  public void loadingEngineCountsAsLoadingUntilItEnds() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 4);
    setFirstThreeBusy(0);
    runSteps(rollout, 60);
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3"));
  }

  /** A report that never arrives must not prevent the renewal of the lease. */
  @Test
  public void pendingReportBlocksNeitherLeaseRenewalNorOtherLoads() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    reportExecutor.pause();
    runSteps(rollout, 4);
    Runnable pending = reportExecutor.removeFirst();
    reportExecutor.resume();
    runSteps(rollout, 30);
    assertTrue(
        orderedEngineIds().containsAll(List.of("e2", "e3", "e4", "e5", "e6")),
        orderedEngineIds().toString());
    assertFalse(orderedEngineIds().contains("e1"), "ordered without a report; pending: " + pending);
    for (String order : engines.orders) {
      assertTrue(order.endsWith("epoch 1"), "the lease was lost: " + engines.orders);
    }
  }

  /**
   * Requests are routed away from the engines that load next, by the order of the tasks; loads must
   * keep to this order if a report is only a little late.
   */
  @Test
  public void waitsBrieflyForReportOfNextEngine() {
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    reportExecutor.pause();
    runSteps(rollout, 3);
    rollout.step();
    Runnable first = reportExecutor.removeFirst();
    reportExecutor.runNext(5);
    assertEquals(orderedEngineIds(), List.of());
    ticker.advance(EngineView.REPORT_WAIT_MS - 1);
    first.run();
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3"));
  }

  @Test
  public void pollsUnresponsiveEnginesRarely() {
    List<Task> tasks = engines.lagging(2);
    engines.reports.remove("e1");
    runSteps(createRollout("a", tasks), 17);
    assertEquals(Collections.frequency(engines.polledIds, "e2"), 14);
    assertEquals(Collections.frequency(engines.polledIds, "e1"), 2);
  }

  /** An order that a busy executor delays must not be sent in a later lease term. */
  @Test
  public void dropsDelayedOrderAfterItsLeaseTerm() {
    VersionRollout first = createRollout("a", engines.lagging(2));
    orderExecutor.pause();
    runSteps(first, 4);
    assertEquals(orderExecutor.queueSize(), 3);
    Lease second = new Lease(api, ticker, ticker::millis, "weights", "b", LEASE_MS);
    second.acquireOrRenew();
    ticker.advance(2 * LEASE_MS);
    second.acquireOrRenew();
    assertEquals(second.token(), OptionalLong.of(2));
    second.release();
    runSteps(first, 3);
    orderExecutor.resume();
    assertEquals(engines.orders, List.of());
    runSteps(first, (int) (HANDOVER_DELAY_MS / STEP_MS) - 3);
    assertEquals(engines.orders, List.of(), "ordered before the end of the handover delay");
    runSteps(first, 5);
    assertEquals(sortedOrders(), List.of("e1 v2 epoch 3", "e2 v2 epoch 3", "e3 v2 epoch 3"));
  }

  /**
   * A holder that loses the lease and acquires it again must still wait for the orders of the
   * holder before it.
   */
  @Test
  public void reacquiringTheLeaseDoesNotShortenHandoverDelay() {
    VersionRollout first = createRollout("a", engines.lagging(2));
    runSteps(first, 4);
    first.close();
    engines.orders.clear();
    long endMs = ticker.millis();
    VersionRollout second = createRollout("b", engines.lagging(2));
    runSteps(second, 4);
    api.outage(true);
    runSteps(second, 6);
    api.outage(false);
    while (engines.orders.isEmpty()) {
      runSteps(second, 1);
      assertTrue(ticker.millis() - endMs < 20_000, "the new holder never sends an order");
    }
    assertTrue(ticker.millis() - endMs >= HANDOVER_DELAY_MS, ticker.millis() - endMs + " ms apart");
    assertTrue(engines.orders.get(0).endsWith("epoch 3"), engines.orders.toString());
  }

  /** The previous holder may be suspended when the next weights are published. */
  @Test
  public void noHandoverDelayAfterIdlePeriod() {
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout first = createRollout("a", tasks);
    VersionRollout second = createRollout("b", tasks);
    runSteps(first, 4);
    tasks.clear();
    for (int i = 0; i < 40; i++) {
      first.step();
      runSteps(second, 1);
    }
    engines.orders.clear();
    tasks.addAll(engines.lagging(3));
    runSteps(second, 4);
    assertEquals(sortedOrders(), List.of("e1 v3 epoch 2", "e2 v3 epoch 2", "e3 v3 epoch 2"));
  }

  /**
   * An engine accepts an order, restarts under the same id and has its earlier weights again. Its
   * order count starts from zero, below the count in the last order. Without its start time no
   * report seems to reflect that order, and the next order is delayed by 0.6 s.
   */
  @Test
  public void restartedEngineIsOrderedByItsNewCount() {
    engines.reports.replaceAll((id, report) -> report(1, 5, FIRST_START_MS));
    VersionRollout rollout = createRollout("a", engines.lagging(2));
    runSteps(rollout, 4);
    assertEquals(orderedEngineIds(), List.of("e1", "e2", "e3"));
    engines.reports.put("e1", report(1, 0, SECOND_START_MS));
    engines.orders.clear();
    runSteps(rollout, 1);
    assertEquals(orderedEngineIds(), List.of("e1"));
    assertEquals(engines.expectedOrdersTaken.get("e1"), Long.valueOf(0));
  }

  /** A report of an earlier incarnation may arrive after the restart of the engine is known. */
  @Test
  public void ignoresLateReportOfEarlierIncarnation() {
    List<Task> tasks = new ArrayList<>();
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", FIRST_START_MS), "m", 2));
    engines.reports.put("e1", report(1, 5, FIRST_START_MS));
    VersionRollout rollout = createRollout("a", tasks);
    reportExecutor.pause();
    runSteps(rollout, 4);
    tasks.set(0, new Task(new EngineControl.Engine("e1", "10.0.0.1:80", SECOND_START_MS), "m", 2));
    rollout.step();
    reportExecutor.runNext(1);
    assertEquals(engines.orders, List.of());
    engines.reports.put("e1", report(1, 0, SECOND_START_MS));
    reportExecutor.resume();
    runSteps(rollout, 2);
    assertEquals(engines.expectedOrdersTaken.get("e1"), Long.valueOf(0));
  }

  /**
   * An order that was sent to the earlier incarnation is carried out late by the next one, because
   * their order counts are equal, and replaces newer weights by older ones. The newest weights must
   * be ordered again.
   */
  @Test
  public void reordersWeightsAfterLateOrderToEarlierIncarnation() {
    List<Task> tasks = new ArrayList<>();
    VersionRollout rollout = createRollout("a", tasks);
    engines.reports.put("e1", report(1, 0, FIRST_START_MS));
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", FIRST_START_MS), "m", 2));
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    runSteps(rollout, 4);
    engines.outcome = EngineControl.Outcome.TAKEN;
    engines.reports.put("e1", report(3, 0, SECOND_START_MS));
    tasks.clear();
    runSteps(rollout, 4);
    engines.orders.clear();
    engines.reports.put("e1", report(2, 1, SECOND_START_MS));
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", SECOND_START_MS), "m", 3));
    runSteps(rollout, 4);
    assertEquals(orderedEngineIds(), List.of("e1"));
    assertTrue(engines.orders.get(0).startsWith("e1 v3"), engines.orders.toString());
  }

  private static EngineControl.Report report(long version, long ordersTaken, long startedMs) {
    return new EngineControl.Report(Map.of("m", version), false, ordersTaken, 0, startedMs);
  }

  @Test
  public void holderWithoutLinksToEnginesLeavesTheRolloutToAnother() {
    List<Task> tasks = engines.lagging(2);
    VersionRollout partitioned = createRollout("a", tasks);
    runSteps(partitioned, 6);
    engines.orders.clear();
    VersionRollout other = createRollout("b", tasks);
    for (int i = 0; i < 60; i++) {
      reachesEngines = false;
      partitioned.step();
      reachesEngines = true;
      runSteps(other, 1);
    }
    assertTrue(engines.orders.size() >= 6, engines.orders.toString());
    assertTrue(
        engines.orders.stream().noneMatch(order -> order.endsWith("epoch 1")),
        engines.orders.toString());
  }

  /** Each VM that competes for the lease calls the store twice a second while engines lag. */
  @Test
  public void nonCandidatesAcquireLeaseOnlyAfterStall() {
    isCandidate = false;
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout rollout = createRollout("a", tasks);
    for (int updated = 0; updated < 5; updated++) {
      runSteps(rollout, 30);
      tasks.remove(0);
    }
    assertEquals(api.writes(), 0);
    runSteps(rollout, 45);
    assertEquals(
        orderedEngineIds(), List.of("e6"), "this VM did not take over from the candidates");
  }

  private void setFirstThreeBusy(int running) {
    for (String id : List.of("e1", "e2", "e3")) {
      engines.reports.put(id, new EngineControl.Report(Map.of("m", 1L), true, 1, running, 0));
    }
  }

  private List<String> orderedEngineIds() {
    return engines.orders.stream().map(order -> order.substring(0, 2)).toList();
  }

  private List<String> sortedOrders() {
    List<String> sorted = new ArrayList<>(engines.orders);
    Collections.sort(sorted);
    return sorted;
  }
}
