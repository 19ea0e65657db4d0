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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
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
 * this process itself or there was none.
 */
public final class VersionRollout implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("weights");
  private static final long STEP_MS = 150;
  private static final int STEPS_PER_RENEWAL = 3;
  private static final int CALLERS = 8;

  /** Reports are up to this old, by some hundred milliseconds more than engines say. */
  private static final long REPORT_LAG_MS = 600;

  /** The last holder goes first; others wait so many steps before they seek the lease. */
  private static final int STEPS_FOR_LAST_HOLDER = 3;

  private final String self;
  private final Supplier<List<Task>> lagging;
  private final Lease lease;
  private final EngineControl control;
  private final Ticker ticker;
  private final long settleMs;
  private final ToIntFunction<String> loadsAtOnce;
  private final Duty duty = Duty.start("weights", 4);
  private final ExecutorService callers =
      Executors.newFixedThreadPool(CALLERS, Duty.daemon("weights-calls"));
  private final Map<String, Ordered> ordered = new ConcurrentHashMap<>();
  private long steps;
  private long idleSteps;
  private long laggingSteps;
  private long lastEpoch = -1;
  private long heldSinceMs;
  private boolean settled;

  private record Ordered(long version, long ordersTaken, long atMs) {}

  /** An engine that has older weights than named. */
  public record Task(Engine engine, String model, long version) {}

  /**
   * Creates a rollout.
   *
   * @param lagging engines with older weights than named, in the order in which to load
   * @param settleMs how long after a foreign holding's last possible order the first own one waits
   * @param loadsAtOnce loads of a model that run at once without slowing each other down
   */
  public VersionRollout(
      String self,
      Supplier<List<Task>> lagging,
      Lease lease,
      EngineControl control,
      Ticker ticker,
      long settleMs,
      ToIntFunction<String> loadsAtOnce) {
    this.self = self;
    this.lagging = lagging;
    this.lease = lease;
    this.control = control;
    this.ticker = ticker;
    this.settleMs = settleMs;
    this.loadsAtOnce = loadsAtOnce;
  }

  /** Starts looking for engines that lag. */
  public void start() {
    duty.every(STEP_MS, this::step);
  }

  /** Looks once. */
  void step() {
    List<Task> tasks = lagging.get();
    if (tasks.isEmpty()) {
      rest();
      return;
    }
    idleSteps = 0;
    laggingSteps++;
    boolean wasLast = lastEpoch >= 0;
    if (!wasLast && laggingSteps <= STEPS_FOR_LAST_HOLDER) {
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
    if (!settled && ticker.millis() - heldSinceMs < settleMs) {
      return;
    }
    settled = true;
    roll(tasks);
  }

  /** Gives the lease back when nothing lags for a while. */
  private void rest() {
    laggingSteps = 0;
    steps = 0;
    idleSteps++;
    if (idleSteps == STEPS_PER_RENEWAL && lease.token().isPresent()) {
      lease.release();
      log.atInfo().addKeyValue("epoch", lastEpoch).log("lease given back");
    }
  }

  private void noteHolding(long epoch) {
    if (epoch == lastEpoch) {
      return;
    }
    boolean first = epoch == 1;
    boolean ownBefore = lastEpoch >= 0 && epoch == lastEpoch + 1;
    settled = first || ownBefore;
    heldSinceMs = ticker.millis();
    lastEpoch = epoch;
    log.atInfo()
        .addKeyValue("epoch", epoch)
        .addKeyValue("waitsMs", settled ? 0 : settleMs)
        .log("lease won");
  }

  private void roll(List<Task> tasks) {
    Map<Task, Future<@Nullable Report>> asked = new HashMap<>();
    for (Task task : tasks) {
      asked.put(task, callers.submit(() -> ask(task)));
    }
    int loading = 0;
    List<Task> idle = new ArrayList<>();
    Map<Task, Report> reports = new HashMap<>();
    for (Task task : tasks) {
      Report report = result(asked.get(task));
      if (report == null) {
        continue;
      }
      if (report.busy() || mayNotShowYet(task, report)) {
        loading++;
      } else if (report.weightVersions().getOrDefault(task.model(), 0L) < task.version()) {
        idle.add(task);
        reports.put(task, report);
      }
    }
    List<Future<?>> orders = new ArrayList<>();
    for (Task task : idle) {
      Report report = reports.get(task);
      if (loading >= loadsAtOnce.applyAsInt(task.model()) || report == null) {
        break;
      }
      loading++;
      orders.add(callers.submit(() -> order(task, report)));
    }
    orders.forEach(VersionRollout::result);
  }

  /** Reports are some time old: an order that was given just now may not show in them. */
  private boolean mayNotShowYet(Task task, Report report) {
    Ordered last = ordered.get(task.engine().id());
    return last != null
        && last.version == task.version()
        && report.ordersTaken() <= last.ordersTaken
        && ticker.millis() - last.atMs < REPORT_LAG_MS;
  }

  private @Nullable Report ask(Task task) {
    try {
      return control.report(task.engine());
    } catch (EngineSilentException e) {
      log.atDebug().addKeyValue("server", task.engine().id()).log("engine silent");
      return null;
    }
  }

  private void order(Task task, Report report) {
    // Asked again right before the order: the holding may have ended meanwhile.
    OptionalLong epoch = lease.token();
    if (epoch.isEmpty()) {
      return;
    }
    LoadOrder order =
        new LoadOrder(task.model(), task.version(), report.ordersTaken(), self, epoch.getAsLong());
    Ordered given = new Ordered(task.version(), report.ordersTaken(), ticker.millis());
    ordered.put(task.engine().id(), given);
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

  private static <T> @Nullable T result(@Nullable Future<T> future) {
    if (future == null) {
      return null;
    }
    try {
      return future.get();
    } catch (ExecutionException e) {
      log.warn("A call to an engine failed: {}.", String.valueOf(e.getCause()));
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  @Override
  public void close() {
    duty.close();
    callers.shutdownNow();
    lease.release();
  }
}
