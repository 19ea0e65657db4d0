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
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.lease.Lease;
import org.landingtrack.internal.weights.EngineControl.Engine;
import org.landingtrack.internal.weights.EngineControl.EngineSilentException;
import org.landingtrack.internal.weights.EngineControl.LoadOrder;
import org.landingtrack.internal.weights.EngineControl.Outcome;
import org.landingtrack.internal.weights.EngineControl.Report;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings engines to the newest named weights, under a lease that is sought only while engines lag.
 *
 * <p>Engines that do not check fences must never hear from two holders at about the same time: the
 * first order of a holding waits until every order of the holder before is over, unless that was
 * this process itself or there was none. That wait runs from the end of the holding before as far
 * as this process saw it: after a rest it is over, so that a last holder which stands still costs
 * the next rollout no 3.4 s.
 *
 * <p>In a large fleet a few VMs seek the lease, and the others only when nothing goes on for a
 * while: each that seeks it calls the store twice a second for as long as engines lag.
 *
 * <p>No look waits for an engine: reports are used as they come. A look that waited took up to 0.95
 * s, longer than the lease is held without a renewal, so that it was lost up to four times in a
 * rollout.
 *
 * <p>{@link #step} is called by one thread; reports and orders run on callers of their own.
 */
public final class VersionRollout implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("weights");
  private static final long STEP_MS = 150;
  private static final int STEPS_PER_RENEWAL = 3;

  /** Callers for reports, and as many for orders: silent engines hold up no order. */
  private static final int CALLERS = 8;

  /** The last holder goes first; others wait so many steps before they seek the lease. */
  private static final int STEPS_FOR_LAST_HOLDER = 3;

  /**
   * VMs that are not to roll out do so when no engine has got its weights for so many steps: 6 s.
   */
  private static final int STEPS_FOR_OTHERS = 40;

  /** When nothing has lagged for so many steps, the last holder gave the lease back 0.3 s ago. */
  private static final int STEPS_BEFORE_LOOK = 5;

  private final String self;
  private final Supplier<List<Task>> lagging;
  private final Lease lease;
  private final EngineControl control;
  private final Ticker ticker;
  private final long settleMs;
  private final ToIntFunction<String> loadsAtOnce;
  private final BooleanSupplier isCandidate;
  private final ExecutorService reportCallers;
  private final ExecutorService orderCallers;
  private final Duty duty = Duty.start("weights", 4);
  private long steps;
  private long idleSteps;
  private long laggingSteps;
  private int laggingBefore;
  private long stillSteps;
  private long lastEpoch = -1;

  /** Until then orders of another holder may be too near. */
  private long quietUntilMs = Long.MIN_VALUE;

  /** Guards the fields below and the views in them. */
  private final Object lock = new Object();

  private final Map<String, EngineView> views = new HashMap<>();
  private List<Task> tasks = List.of();

  /** The last holding that has settled: only under it orders are given. */
  private long settledEpoch = -1;

  /** An engine that has older weights than named. */
  public record Task(Engine engine, String model, long version) {}

  /**
   * Creates a rollout.
   *
   * @param lagging engines with older weights than named, in the order in which to load
   * @param settleMs how long after a foreign holding's last possible order the first own one waits
   * @param loadsAtOnce loads of a model that run at once without slowing each other down
   * @param isCandidate whether this VM is one of those that roll out
   */
  public VersionRollout(
      String self,
      Supplier<List<Task>> lagging,
      Lease lease,
      EngineControl control,
      Ticker ticker,
      long settleMs,
      ToIntFunction<String> loadsAtOnce,
      BooleanSupplier isCandidate) {
    this(
        self,
        lagging,
        lease,
        control,
        ticker,
        settleMs,
        loadsAtOnce,
        isCandidate,
        Executors.newFixedThreadPool(CALLERS, Duty.daemon("weights-reports")),
        Executors.newFixedThreadPool(CALLERS, Duty.daemon("weights-orders")));
  }

  /** Creates a rollout whose calls to engines run where a test says; it closes the callers. */
  VersionRollout(
      String self,
      Supplier<List<Task>> lagging,
      Lease lease,
      EngineControl control,
      Ticker ticker,
      long settleMs,
      ToIntFunction<String> loadsAtOnce,
      BooleanSupplier isCandidate,
      ExecutorService reportCallers,
      ExecutorService orderCallers) {
    this.isCandidate = isCandidate;
    this.self = self;
    this.lagging = lagging;
    this.lease = lease;
    this.control = control;
    this.ticker = ticker;
    this.settleMs = settleMs;
    this.loadsAtOnce = loadsAtOnce;
    this.reportCallers = reportCallers;
    this.orderCallers = orderCallers;
  }

  /** Starts looking for engines that lag. */
  public void start() {
    duty.every(STEP_MS, this::step);
  }

  /** Looks once; waits for the store, never for an engine. */
  void step() {
    List<Task> now = lagging.get();
    follow(now);
    if (now.isEmpty()) {
      rest();
      return;
    }
    idleSteps = 0;
    laggingSteps++;
    if (!maySeek(now.size())) {
      return;
    }
    if (steps++ % STEPS_PER_RENEWAL == 0) {
      lease.step();
    }
    OptionalLong epoch = lease.token();
    if (epoch.isEmpty()) {
      return;
    }
    noteHolding(epoch.getAsLong());
    if (ticker.millis() < quietUntilMs) {
      return;
    }
    askAll(epoch.getAsLong());
  }

  /** The last holder seeks the lease at once, candidates soon, others when nothing goes on. */
  private boolean maySeek(int laggingNow) {
    stillSteps = laggingNow == laggingBefore ? stillSteps + 1 : 0;
    laggingBefore = laggingNow;
    boolean wasLast = lastEpoch >= 0;
    if (wasLast) {
      return true;
    }
    return isCandidate.getAsBoolean()
        ? laggingSteps > STEPS_FOR_LAST_HOLDER
        : stillSteps > STEPS_FOR_OTHERS;
  }

  /** Gives the lease back when nothing lags for a while. */
  private void rest() {
    laggingSteps = 0;
    laggingBefore = 0;
    stillSteps = 0;
    steps = 0;
    idleSteps++;
    if (idleSteps == STEPS_PER_RENEWAL && lease.token().isPresent()) {
      lease.release();
      log.atInfo().addKeyValue("epoch", lastEpoch).log("lease given back");
    }
    if (idleSteps == STEPS_BEFORE_LOOK) {
      lease.look();
    }
  }

  private void noteHolding(long epoch) {
    if (epoch == lastEpoch) {
      return;
    }
    boolean first = epoch == 1;
    boolean ownBefore = lastEpoch >= 0 && epoch == lastEpoch + 1;
    if (!first && !ownBefore) {
      quietUntilMs = lease.beforeUntilMs() + settleMs;
    }
    lastEpoch = epoch;
    long nowMs = ticker.millis();
    long waitsMs = nowMs < quietUntilMs ? quietUntilMs - nowMs : 0;
    log.atInfo().addKeyValue("epoch", epoch).addKeyValue("waitsMs", waitsMs).log("lease won");
  }

  /** Takes what is to be done now. */
  private void follow(List<Task> now) {
    synchronized (lock) {
      tasks = now;
      views
          .keySet()
          .retainAll(now.stream().map(task -> task.engine().id()).collect(Collectors.toSet()));
    }
  }

  /** Asks all engines that lag, under a holding that has settled. */
  private void askAll(long epoch) {
    Map<Task, EngineView> asked = new LinkedHashMap<>();
    synchronized (lock) {
      settledEpoch = epoch;
      for (Task task : tasks) {
        EngineView view = view(task);
        if (view.beginAsk(ticker.millis())) {
          asked.put(task, view);
        }
      }
      orderNext();
    }
    asked.forEach((task, view) -> run(reportCallers, () -> ask(task, view)));
  }

  private EngineView view(Task task) {
    EngineView view = views.computeIfAbsent(task.engine().id(), id -> new EngineView());
    view.startSeen(task.engine().startedMs());
    return view;
  }

  private void ask(Task task, EngineView view) {
    Report report = reportOf(task.engine());
    synchronized (lock) {
      view.endAsk(report);
      orderNext();
    }
  }

  private @Nullable Report reportOf(Engine engine) {
    try {
      return control.report(engine);
    } catch (EngineSilentException e) {
      log.atDebug().addKeyValue("server", engine.id()).log("engine silent");
    } catch (RuntimeException e) {
      log.warn("A call to an engine failed: {}.", e.toString());
    }
    return null;
  }

  /** Gives orders as far as places are free, in turn. Call it under the lock. */
  private void orderNext() {
    if (!mayOrder(settledEpoch)) {
      return;
    }
    long nowMs = ticker.millis();
    int loading = 0;
    for (Task task : tasks) {
      loading += view(task).holdsPlace(task.version(), nowMs) ? 1 : 0;
    }
    for (Task task : inTurn()) {
      EngineView view = view(task);
      if (loading >= loadsAtOnce.applyAsInt(task.model()) || view.isAwaited(nowMs)) {
        return;
      }
      Report report = view.readyFor(task.model(), task.version());
      if (report != null) {
        loading++;
        give(task, report, view);
      }
    }
  }

  /** An engine whose order had no effect yet goes behind the others, the longest ago first. */
  private List<Task> inTurn() {
    List<Task> turns = new ArrayList<>(tasks);
    turns.sort(Comparator.comparingLong(task -> view(task).lastOrderMs(task.version())));
    return turns;
  }

  private boolean mayOrder(long epoch) {
    OptionalLong token = lease.token();
    return token.isPresent() && token.getAsLong() == epoch;
  }

  private void give(Task task, Report report, EngineView view) {
    long epoch = settledEpoch;
    view.beginOrder();
    run(orderCallers, () -> order(task, report, view, epoch));
  }

  private void order(Task task, Report report, EngineView view, long epoch) {
    try {
      send(task, report, view, epoch);
    } catch (RuntimeException e) {
      log.warn("A call to an engine failed: {}.", e.toString());
    } finally {
      synchronized (lock) {
        view.endOrder();
      }
    }
  }

  private void send(Task task, Report report, EngineView view, long epoch) {
    // Asked again right before the order: that holding may have ended meanwhile, and a newer one
    // of this process may have to settle first.
    if (!mayOrder(epoch)) {
      return;
    }
    synchronized (lock) {
      if (!view.isOfLatestStart(report)) {
        return;
      }
      view.noteSent(task.version(), report.ordersTaken(), ticker.millis());
    }
    LoadOrder order =
        new LoadOrder(task.model(), task.version(), report.ordersTaken(), self, epoch);
    Outcome outcome = control.load(task.engine(), order);
    log.atInfo()
        .addKeyValue("server", task.engine().id())
        .addKeyValue("version", task.version())
        .addKeyValue("epoch", order.epoch())
        .addKeyValue("ordersTaken", order.ordersTaken())
        .addKeyValue("running", report.running())
        .addKeyValue("outcome", outcome)
        .log("load ordered");
  }

  private static void run(ExecutorService callers, Runnable call) {
    try {
      callers.execute(call);
    } catch (RejectedExecutionException e) {
      // The rollout was closed: nothing is asked or ordered any more.
    }
  }

  @Override
  public void close() {
    duty.close();
    reportCallers.shutdownNow();
    orderCallers.shutdownNow();
    lease.release();
  }
}
