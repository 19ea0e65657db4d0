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
  private static final long SETTLE_MS = 3_400;
  private static final long STEP_MS = 150;
  private static final long FIRST = 1_700_000_000_000L;
  private static final long SECOND = FIRST + 20_000;

  private FakeTicker ticker = new FakeTicker();
  private FakeObjectApi api = new FakeObjectApi();
  private Engines engines = new Engines();
  private boolean isCandidate = true;
  private CallsByHand reportCalls = new CallsByHand();
  private CallsByHand orderCalls = new CallsByHand();

  @BeforeMethod
  public void newWorld() {
    ticker = new FakeTicker();
    ticker.pass(100_000);
    api = new FakeObjectApi();
    engines = new Engines();
    isCandidate = true;
    reportCalls = new CallsByHand();
    orderCalls = new CallsByHand();
  }

  /** Engines whose reports the test sets; an order changes no report by itself. */
  private static final class Engines implements EngineControl {
    final List<String> orders = Collections.synchronizedList(new ArrayList<>());
    final Map<String, Report> reports = new HashMap<>();
    final List<String> asked = new ArrayList<>();
    final Map<String, Long> counts = new HashMap<>();
    Outcome outcome = Outcome.TAKEN;

    Engines() {
      for (int i = 1; i <= 6; i++) {
        reports.put("e" + i, new Report(Map.of("m", 1L), false, 0, 0, 0));
      }
    }

    @Override
    public Report report(Engine engine) {
      asked.add(engine.id());
      Report report = reports.get(engine.id());
      if (report == null) {
        throw new EngineSilentException(engine.id(), new java.io.IOException("dark"));
      }
      return report;
    }

    @Override
    public Outcome load(Engine engine, LoadOrder order) {
      counts.put(engine.id(), order.ordersTaken());
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

  private VersionRollout rollout(String self, List<Task> tasks) {
    Lease lease = new Lease(api, ticker, "weights", self, LEASE_MS);
    return new VersionRollout(
        self,
        () -> tasks,
        lease,
        engines,
        ticker,
        SETTLE_MS,
        model -> 3,
        () -> isCandidate,
        reportCalls,
        orderCalls);
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

  /** Engines do not check fencing tokens, so orders of two holders must be far apart. */
  @Test
  public void aNewHolderWaitsOutTheOneBefore() {
    VersionRollout first = rollout("a", engines.lagging(2));
    steps(first, 6);
    int before = engines.orders.size();
    long lastOrderMs = ticker.millis();
    VersionRollout second = rollout("b", engines.lagging(2));
    while (engines.orders.size() == before) {
      steps(second, 1);
      assertTrue(ticker.millis() - lastOrderMs < 20_000, "the new holder never sends an order");
    }
    long gapMs = ticker.millis() - lastOrderMs;
    assertTrue(gapMs >= LEASE_MS + SETTLE_MS, "orders of two holders only " + gapMs + " ms apart");
    assertTrue(engines.orders.get(before).endsWith("epoch 2"), engines.orders.toString());
    engines.orders.clear();
    steps(first, 4);
    assertEquals(engines.orders, List.of(), "the first holder sends orders beside the second");
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

  /** An unanswered order may be carried out seconds later; meanwhile the other engines load. */
  @Test
  public void anUnansweredOrderHoldsUpNoOtherEngine() {
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    steps(rollout("a", engines.lagging(2)), 9);
    assertEquals(servers(), List.of("e1", "e2", "e3", "e4", "e5", "e6"));
  }

  /** Orders without an effect are repeated, the oldest first. */
  @Test
  public void unansweredOrdersAreRepeatedInTurn() {
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    steps(rollout("a", engines.lagging(2)), 16);
    assertEquals(
        servers(), List.of("e1", "e2", "e3", "e4", "e5", "e6", "e1", "e2", "e3", "e4", "e5", "e6"));
  }

  /** Draining ten requests at a sixth of the usual speed delays an engine's load by 8 s. */
  @Test
  public void anEngineThatStillEndsRequestsHoldsItsPlaceForAWhileOnly() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 4);
    firstThreeBusy(10);
    steps(rollout, (int) (EngineView.DRAIN_PLACE_MS / STEP_MS));
    assertEquals(servers(), List.of("e1", "e2", "e3"));
    steps(rollout, 2);
    assertEquals(servers(), List.of("e1", "e2", "e3", "e4", "e5", "e6"));
  }

  @Test
  public void anEngineThatLoadsKeepsItsPlace() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 4);
    firstThreeBusy(0);
    steps(rollout, 60);
    assertEquals(servers(), List.of("e1", "e2", "e3"));
  }

  /** A report that never arrives must not prevent the renewal of the lease. */
  @Test
  public void whileAnEngineDoesNotAnswerTheLeaseIsKeptAndTheOthersLoad() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    reportCalls.hold();
    steps(rollout, 4);
    Runnable pending = reportCalls.takeFirst();
    reportCalls.release();
    steps(rollout, 30);
    assertTrue(servers().containsAll(List.of("e2", "e3", "e4", "e5", "e6")), servers().toString());
    assertFalse(servers().contains("e1"), "ordered without a report; pending: " + pending);
    for (String order : engines.orders) {
      assertTrue(order.endsWith("epoch 1"), "the lease was lost: " + engines.orders);
    }
  }

  /**
   * Requests are routed away from the engines that load next, by the order of the tasks; loads must
   * keep to this order if a report is only a little late.
   */
  @Test
  public void aReportThatComesSoonKeepsTheTurn() {
    VersionRollout rollout = rollout("a", engines.lagging(2));
    reportCalls.hold();
    steps(rollout, 3);
    rollout.step();
    Runnable first = reportCalls.takeFirst();
    reportCalls.run(5);
    assertEquals(servers(), List.of());
    ticker.pass(EngineView.PATIENCE_MS - 1);
    first.run();
    assertEquals(servers(), List.of("e1", "e2", "e3"));
  }

  @Test
  public void silentEnginesAreAskedSeldom() {
    List<Task> tasks = engines.lagging(2);
    engines.reports.remove("e1");
    steps(rollout("a", tasks), 17);
    assertEquals(Collections.frequency(engines.asked, "e2"), 14);
    assertEquals(Collections.frequency(engines.asked, "e1"), 2);
  }

  /** An order that a busy executor delays must not be sent in a later lease term. */
  @Test
  public void anOrderThatWaitedForACallerEndsWithItsHolding() {
    VersionRollout first = rollout("a", engines.lagging(2));
    orderCalls.hold();
    steps(first, 4);
    assertEquals(orderCalls.waiting(), 3);
    Lease second = new Lease(api, ticker, "weights", "b", LEASE_MS);
    second.step();
    ticker.pass(2 * LEASE_MS);
    second.step();
    assertEquals(second.token(), OptionalLong.of(2));
    second.release();
    steps(first, 3);
    orderCalls.release();
    assertEquals(engines.orders, List.of());
    steps(first, (int) (SETTLE_MS / STEP_MS) - 3);
    assertEquals(engines.orders, List.of(), "ordered before the end of the handover delay");
    steps(first, 5);
    assertEquals(sorted(), List.of("e1 v2 epoch 3", "e2 v2 epoch 3", "e3 v2 epoch 3"));
  }

  /**
   * A holder that loses the lease and acquires it again must still wait for the orders of the
   * holder before it.
   */
  @Test
  public void aNewHolderThatLosesTheLeaseStillWaitsOutTheOneBefore() {
    VersionRollout first = rollout("a", engines.lagging(2));
    steps(first, 4);
    first.close();
    engines.orders.clear();
    long endMs = ticker.millis();
    VersionRollout second = rollout("b", engines.lagging(2));
    steps(second, 4);
    api.out(true);
    steps(second, 6);
    api.out(false);
    while (engines.orders.isEmpty()) {
      steps(second, 1);
      assertTrue(ticker.millis() - endMs < 20_000, "the new holder never sends an order");
    }
    assertTrue(ticker.millis() - endMs >= SETTLE_MS, ticker.millis() - endMs + " ms apart");
    assertTrue(engines.orders.get(0).endsWith("epoch 3"), engines.orders.toString());
  }

  /** The previous holder may be suspended when the next weights are published. */
  @Test
  public void afterARestAnotherHolderNeedNotWait() {
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout first = rollout("a", tasks);
    VersionRollout second = rollout("b", tasks);
    steps(first, 4);
    tasks.clear();
    for (int i = 0; i < 40; i++) {
      first.step();
      steps(second, 1);
    }
    engines.orders.clear();
    tasks.addAll(engines.lagging(3));
    steps(second, 4);
    assertEquals(sorted(), List.of("e1 v3 epoch 2", "e2 v3 epoch 2", "e3 v3 epoch 2"));
  }

  /**
   * An engine accepts an order, restarts under the same id and has its earlier weights again. Its
   * order count starts from zero, below the count in the last order. Without its start time no
   * report seems to reflect that order, and the next order is delayed by 0.6 s.
   */
  @Test
  public void anEngineThatStartsAgainIsOrderedByItsNewCount() {
    engines.reports.replaceAll((id, report) -> report(1, 5, FIRST));
    VersionRollout rollout = rollout("a", engines.lagging(2));
    steps(rollout, 4);
    assertEquals(servers(), List.of("e1", "e2", "e3"));
    engines.reports.put("e1", report(1, 0, SECOND));
    engines.orders.clear();
    steps(rollout, 1);
    assertEquals(servers(), List.of("e1"));
    assertEquals(engines.counts.get("e1"), Long.valueOf(0));
  }

  /** A report of an earlier incarnation may arrive after the restart of the engine is known. */
  @Test
  public void aLateReportOfTheStartBeforeOrdersNothing() {
    List<Task> tasks = new ArrayList<>();
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", FIRST), "m", 2));
    engines.reports.put("e1", report(1, 5, FIRST));
    VersionRollout rollout = rollout("a", tasks);
    reportCalls.hold();
    steps(rollout, 4);
    tasks.set(0, new Task(new EngineControl.Engine("e1", "10.0.0.1:80", SECOND), "m", 2));
    rollout.step();
    reportCalls.run(1);
    assertEquals(engines.orders, List.of());
    engines.reports.put("e1", report(1, 0, SECOND));
    reportCalls.release();
    steps(rollout, 2);
    assertEquals(engines.counts.get("e1"), Long.valueOf(0));
  }

  /**
   * An order that was sent to the earlier incarnation is carried out late by the next one, because
   * their order counts are equal, and replaces newer weights by older ones. The newest weights must
   * be ordered again.
   */
  @Test
  public void anOrderThatIsCarriedOutAfterARestartIsMadeUpFor() {
    List<Task> tasks = new ArrayList<>();
    VersionRollout rollout = rollout("a", tasks);
    engines.reports.put("e1", report(1, 0, FIRST));
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", FIRST), "m", 2));
    engines.outcome = EngineControl.Outcome.UNKNOWN;
    steps(rollout, 4);
    engines.outcome = EngineControl.Outcome.TAKEN;
    engines.reports.put("e1", report(3, 0, SECOND));
    tasks.clear();
    steps(rollout, 4);
    engines.orders.clear();
    engines.reports.put("e1", report(2, 1, SECOND));
    tasks.add(new Task(new EngineControl.Engine("e1", "10.0.0.1:80", SECOND), "m", 3));
    steps(rollout, 4);
    assertEquals(servers(), List.of("e1"));
    assertTrue(engines.orders.get(0).startsWith("e1 v3"), engines.orders.toString());
  }

  private static EngineControl.Report report(long version, long ordersTaken, long startedMs) {
    return new EngineControl.Report(Map.of("m", version), false, ordersTaken, 0, startedMs);
  }

  /** Each VM that competes for the lease calls the store twice a second while engines lag. */
  @Test
  public void othersSeekTheLeaseOnlyWhenNothingGoesOn() {
    isCandidate = false;
    List<Task> tasks = new ArrayList<>(engines.lagging(2));
    VersionRollout rollout = rollout("a", tasks);
    for (int updated = 0; updated < 5; updated++) {
      steps(rollout, 30);
      tasks.remove(0);
    }
    assertEquals(api.writes(), 0);
    steps(rollout, 45);
    assertEquals(servers(), List.of("e6"), "this VM did not take over from the candidates");
  }

  private void firstThreeBusy(int running) {
    for (String id : List.of("e1", "e2", "e3")) {
      engines.reports.put(id, new EngineControl.Report(Map.of("m", 1L), true, 1, running, 0));
    }
  }

  private List<String> servers() {
    return engines.orders.stream().map(order -> order.substring(0, 2)).toList();
  }

  private List<String> sorted() {
    List<String> sorted = new ArrayList<>(engines.orders);
    Collections.sort(sorted);
    return sorted;
  }
}
