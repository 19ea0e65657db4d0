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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.base.WaitTicker;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.weights.EngineControl.Engine;
import org.landingtrack.internal.weights.EngineControl.EngineUnavailableException;
import org.landingtrack.internal.weights.EngineControl.LoadOrder;
import org.landingtrack.internal.weights.EngineControl.Outcome;
import org.landingtrack.internal.weights.EngineControl.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings engines to the newest published weights. Holds a lease meanwhile, which it acquires only
 * while engines lag, that is, have older weights.
 *
 * <p>Engines that do not check fencing tokens must not receive orders from two lease holders at
 * about the same time. The first order of a lease term therefore waits until all orders of the
 * previous holder must have ended, unless that was this process or there was none. The delay counts
 * from the end of the previous term as far as this process observed it. After an idle period it is
 * already over, so that a previous holder which is suspended does not delay the next rollout by
 * this time, 3.4 s.
 *
 * <p>In a large fleet only a few candidate VMs compete for the lease; the others do so only after
 * the rollout has made no progress for a while. Each VM that competes calls the store twice a
 * second for as long as engines lag.
 *
 * <p>{@link #step} never waits for an engine; reports are processed as they arrive. A step that
 * waited took up to 0.95 s, longer than the lease is held without a renewal, and the lease was lost
 * up to four times in a rollout.
 *
 * <p>{@link #step} is called by one thread; reports and orders run in thread pools.
 */
public final class VersionRollout implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("weights");
  private static final long STEP_MS = 150;
  private static final int STEPS_PER_RENEWAL = 3;

  /**
   * Threads for reports, and as many for orders, so that unresponsive engines do not delay orders.
   */
  private static final int POOL_THREADS = 8;

  /**
   * Steps for which a candidate waits before it competes for the lease if it has not held it
   * before, so that an earlier holder is first.
   */
  private static final int CANDIDATE_DELAY_STEPS = 3;

  /**
   * Steps (6 s) without progress of the rollout after which VMs that are no candidates compete for
   * the lease.
   */
  private static final int STALL_STEPS = 40;

  /**
   * Steps without lagging engines after which the lease record is read. The last holder released
   * the lease 0.3 s before.
   */
  private static final int OBSERVE_DELAY_STEPS = 5;

  private final String self;
  private final Supplier<List<Task>> lagging;
  private final Lease lease;
  private final EngineControl control;
  private final Ticker ticker;
  private final WaitTicker waitTicker;
  private final long handoverDelayMs;
  private final ToIntFunction<String> maxConcurrentLoads;
  private final BooleanSupplier isCandidate;
  private final BooleanSupplier reachesEngines;
  private final ExecutorService reportExecutor;
  private final ExecutorService orderExecutor;
  private final BoundedWorker duty = BoundedWorker.start("weights", 4);
  private long steps;
  private long idleSteps;
  private long laggingSteps;
  private int lastLaggingCount;
  private long stalledSteps;
  private long lastHeldEpoch = -1;

  /**
   * Until then, by {@link #waitTicker}, no order is sent, since orders of the previous holder may
   * be in flight.
   */
  private long handoverUntilWaitMs = Long.MIN_VALUE;

  /** Guards the fields below and the contents of {@link #views}. */
  private final Object lock = new Object();

  private final Map<String, EngineView> views = new HashMap<>();
  private List<Task> tasks = List.of();

  /**
   * Epoch of the last lease term whose delay after the previous holder is over. Orders are sent
   * only under this epoch.
   */
  private long orderingEpoch = -1;

  /** An engine with weights older than the newest published ones, and the version to load. */
  public record Task(Engine engine, String model, long version) {}

  /**
   * Creates a rollout.
   *
   * @param self name of this process as lease holder
   * @param lagging engines with weights older than the newest published ones, in the order in which
   *     they are to load
   * @param handoverDelayMs delay between the latest end of another holder's lease term and the
   *     first order of this process
   * @param maxConcurrentLoads number of loads of a model that can run at the same time without
   *     slowing each other down
   * @param isCandidate whether this VM competes for the lease as soon as engines lag
   * @param reachesEngines whether this VM's network links to engines work; without them it leaves
   *     the rollout to other VMs
   */
  public VersionRollout(
      String self,
      Supplier<List<Task>> lagging,
      Lease lease,
      EngineControl control,
      Ticker ticker,
      WaitTicker waitTicker,
      long handoverDelayMs,
      ToIntFunction<String> maxConcurrentLoads,
      BooleanSupplier isCandidate,
      BooleanSupplier reachesEngines) {
    this(
        self,
        lagging,
        lease,
        control,
        ticker,
        waitTicker,
        handoverDelayMs,
        maxConcurrentLoads,
        isCandidate,
        reachesEngines,
        Executors.newFixedThreadPool(
            POOL_THREADS, BoundedWorker.daemonThreadFactory("weights-reports")),
        Executors.newFixedThreadPool(
            POOL_THREADS, BoundedWorker.daemonThreadFactory("weights-orders")));
  }

  /** Creates a rollout with the executors of a test; {@link #close} shuts them down. */
  VersionRollout(
      String self,
      Supplier<List<Task>> lagging,
      Lease lease,
      EngineControl control,
      Ticker ticker,
      WaitTicker waitTicker,
      long handoverDelayMs,
      ToIntFunction<String> maxConcurrentLoads,
      BooleanSupplier isCandidate,
      BooleanSupplier reachesEngines,
      ExecutorService reportExecutor,
      ExecutorService orderExecutor) {
    this.isCandidate = isCandidate;
    this.reachesEngines = reachesEngines;
    this.self = self;
    this.lagging = lagging;
    this.lease = lease;
    this.control = control;
    this.ticker = ticker;
    this.waitTicker = waitTicker;
    this.handoverDelayMs = handoverDelayMs;
    this.maxConcurrentLoads = maxConcurrentLoads;
    this.reportExecutor = reportExecutor;
    this.orderExecutor = orderExecutor;
  }

  /** Starts to check periodically for lagging engines. */
  public void start() {
    duty.runPeriodically(STEP_MS, this::step);
  }

  /**
   * Runs one step: acquires, renews or releases the lease and polls the lagging engines. May block
   * on the store, never on an engine.
   */
  void step() {
    List<Task> current = lagging.get();
    updateTasks(current);
    if (current.isEmpty()) {
      releaseWhenIdle();
      return;
    }
    idleSteps = 0;
    laggingSteps++;
    if (!reachesEngines.getAsBoolean()) {
      leaveToOthers();
      return;
    }
    if (!mayAcquireLease(current.size())) {
      return;
    }
    if (steps++ % STEPS_PER_RENEWAL == 0) {
      lease.acquireOrRenew();
    }
    OptionalLong epoch = lease.token();
    if (epoch.isEmpty()) {
      return;
    }
    recordEpoch(epoch.getAsLong());
    if (waitTicker.waitMillis() < handoverUntilWaitMs) {
      return;
    }
    pollAll(epoch.getAsLong());
  }

  /**
   * Returns whether this process may compete for the lease: at once if it has held it before, after
   * {@link #CANDIDATE_DELAY_STEPS} steps as a candidate, otherwise only if the rollout stalls.
   */
  private boolean mayAcquireLease(int laggingCount) {
    stalledSteps = laggingCount == lastLaggingCount ? stalledSteps + 1 : 0;
    lastLaggingCount = laggingCount;
    boolean wasHolder = lastHeldEpoch >= 0;
    if (wasHolder) {
      return true;
    }
    return isCandidate.getAsBoolean()
        ? laggingSteps > CANDIDATE_DELAY_STEPS
        : stalledSteps > STALL_STEPS;
  }

  /** Releases the lease, so that a VM that reaches the engines can acquire it. */
  private void leaveToOthers() {
    steps = 0;
    if (lease.token().isPresent()) {
      lease.release();
      log.atInfo().addKeyValue("epoch", lastHeldEpoch).log("lease released, no engine in reach");
    }
  }

  /** Releases the lease after some steps without lagging engines, and later reads its record. */
  private void releaseWhenIdle() {
    laggingSteps = 0;
    lastLaggingCount = 0;
    stalledSteps = 0;
    steps = 0;
    idleSteps++;
    if (idleSteps == STEPS_PER_RENEWAL && lease.token().isPresent()) {
      lease.release();
      log.atInfo().addKeyValue("epoch", lastHeldEpoch).log("lease given back");
    }
    if (idleSteps == OBSERVE_DELAY_STEPS) {
      lease.observe();
    }
  }

  /** Records the epoch of the lease and, for a new term, sets the time of the first order. */
  private void recordEpoch(long epoch) {
    if (epoch == lastHeldEpoch) {
      return;
    }
    boolean first = epoch == 1;
    boolean previousWasOwn = lastHeldEpoch >= 0 && epoch == lastHeldEpoch + 1;
    if (!first && !previousWasOwn) {
      handoverUntilWaitMs = lease.previousHolderUntilWaitMs() + handoverDelayMs;
    }
    lastHeldEpoch = epoch;
    long nowWaitMs = waitTicker.waitMillis();
    long waitsMs = nowWaitMs < handoverUntilWaitMs ? handoverUntilWaitMs - nowWaitMs : 0;
    log.atInfo().addKeyValue("epoch", epoch).addKeyValue("waitsMs", waitsMs).log("lease won");
  }

  /** Replaces the tasks and drops the state of engines that lag no more. */
  private void updateTasks(List<Task> current) {
    synchronized (lock) {
      tasks = current;
      views
          .keySet()
          .retainAll(current.stream().map(task -> task.engine().id()).collect(Collectors.toSet()));
    }
  }

  /**
   * Polls all lagging engines. The caller holds the lease with this epoch and has waited for the
   * previous holder's orders to end.
   */
  private void pollAll(long epoch) {
    Map<Task, EngineView> polls = new LinkedHashMap<>();
    synchronized (lock) {
      orderingEpoch = epoch;
      for (Task task : tasks) {
        EngineView view = view(task);
        if (view.beginPoll(ticker.millis())) {
          polls.put(task, view);
        }
      }
      submitNextOrders();
    }
    polls.forEach((task, view) -> submit(reportExecutor, () -> poll(task, view)));
  }

  private EngineView view(Task task) {
    EngineView view = views.computeIfAbsent(task.engine().id(), id -> new EngineView());
    view.updateIncarnation(task.engine().startedMs());
    return view;
  }

  private void poll(Task task, EngineView view) {
    Report report = fetchReport(task.engine());
    synchronized (lock) {
      view.endPoll(report);
      submitNextOrders();
    }
  }

  /** Fetches a report; returns null if the engine did not answer. */
  private @Nullable Report fetchReport(Engine engine) {
    try {
      return control.report(engine);
    } catch (EngineUnavailableException e) {
      log.atDebug().addKeyValue("server", engine.id()).log("engine silent");
    } catch (Throwable e) {
      ThreadFailures.record("weights-reports", e, "the report counts as missing");
    }
    return null;
  }

  /**
   * Submits orders until the limit of concurrent loads is reached, in the order of {@link
   * #tasksByLastOrder}. The caller must hold {@link #lock}.
   */
  private void submitNextOrders() {
    if (!mayOrder(orderingEpoch)) {
      return;
    }
    long nowMs = ticker.millis();
    int loading = 0;
    for (Task task : tasks) {
      loading += view(task).countsAsLoading(task.version(), nowMs) ? 1 : 0;
    }
    for (Task task : tasksByLastOrder()) {
      EngineView view = view(task);
      if (loading >= maxConcurrentLoads.applyAsInt(task.model())
          || view.isReportExpectedSoon(nowMs)) {
        return;
      }
      Report report = view.reportForOrder(task.model(), task.version());
      if (report != null) {
        loading++;
        submitOrder(task, report, view);
      }
    }
  }

  /**
   * Returns the tasks without a previous order first, then those whose order has had no effect, the
   * oldest order first.
   */
  private List<Task> tasksByLastOrder() {
    List<Task> sorted = new ArrayList<>(tasks);
    sorted.sort(Comparator.comparingLong(task -> view(task).lastOrderMs(task.version())));
    return sorted;
  }

  /** Returns true while this process holds the lease with the given epoch. */
  private boolean mayOrder(long epoch) {
    OptionalLong token = lease.token();
    return token.isPresent() && token.getAsLong() == epoch;
  }

  private void submitOrder(Task task, Report report, EngineView view) {
    long epoch = orderingEpoch;
    view.beginOrder();
    submit(orderExecutor, () -> runOrder(task, report, view, epoch));
  }

  private void runOrder(Task task, Report report, EngineView view, long epoch) {
    try {
      sendOrder(task, report, view, epoch);
    } catch (Throwable e) {
      ThreadFailures.record("weights-orders", e, "the effect of the order counts as unknown");
    } finally {
      synchronized (lock) {
        view.endOrder();
      }
    }
  }

  private void sendOrder(Task task, Report report, EngineView view, long epoch) {
    // Check again right before sending: the lease term may have ended while the order was queued,
    // and a newer term of this process may have to wait for another holder's orders first.
    if (!mayOrder(epoch)) {
      return;
    }
    synchronized (lock) {
      if (!view.isFromLatestIncarnation(report)) {
        return;
      }
      view.recordOrder(task.version(), report.ordersTaken(), ticker.millis());
    }
    LoadOrder order =
        new LoadOrder(task.model(), task.version(), report.ordersTaken(), self, epoch);
    Outcome outcome = control.load(task.engine(), order);
    log.atInfo()
        .addKeyValue("server", task.engine().id())
        .addKeyValue("version", task.version())
        .addKeyValue("epoch", order.epoch())
        .addKeyValue("ordersTaken", order.expectedOrdersTaken())
        .addKeyValue("running", report.runningRequests())
        .addKeyValue("outcome", outcome)
        .log("load ordered");
  }

  private static void submit(ExecutorService executor, Runnable call) {
    try {
      executor.execute(call);
    } catch (RejectedExecutionException e) {
      // The rollout is closed: no further reports or orders.
    }
  }

  /** Stops the rollout and releases the lease. */
  @Override
  public void close() {
    duty.close();
    reportExecutor.shutdownNow();
    orderExecutor.shutdownNow();
    lease.release();
  }
}
