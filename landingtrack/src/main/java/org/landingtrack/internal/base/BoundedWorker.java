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
package org.landingtrack.internal.base;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks one after the other on a daemon thread, from a bounded queue. A full queue rejects new
 * tasks at once, so that a slow worker never takes memory without bound. A task that throws is
 * logged and the worker goes on. Thread-safe.
 */
public final class BoundedWorker implements AutoCloseable {
  private final String name;
  private final ThreadPoolExecutor executor;
  private final ScheduledExecutorService timer;

  private BoundedWorker(String name, int queueCapacity) {
    this.name = name;
    this.executor =
        new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(queueCapacity),
            daemonThreadFactory(name),
            new ThreadPoolExecutor.AbortPolicy());
    this.timer = Executors.newSingleThreadScheduledExecutor(daemonThreadFactory(name + "-timer"));
  }

  /** Starts a worker whose queue holds {@code queueCapacity} tasks. */
  public static BoundedWorker start(String name, int queueCapacity) {
    return new BoundedWorker(name, queueCapacity);
  }

  /** Returns a factory of daemon threads that all have the same name. */
  public static ThreadFactory daemonThreadFactory(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setUncaughtExceptionHandler(
          (ended, failure) -> ThreadFailures.record(name, failure, "the thread ends"));
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Queues a task; returns false if the queue is full or the worker is closed. */
  public boolean offer(Runnable task) {
    try {
      executor.execute(() -> runAndRecordFailure(task));
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /**
   * Queues a task periodically, from one period after now. A run is skipped while the queue is
   * full.
   */
  public BoundedWorker runPeriodically(long periodMs, Runnable task) {
    // A task of this executor that throws is not run again.
    Runnable offerOnce = () -> runAndRecordFailure(() -> offer(task));
    var unused = timer.scheduleWithFixedDelay(offerOnce, periodMs, periodMs, TimeUnit.MILLISECONDS);
    return this;
  }

  private void runAndRecordFailure(Runnable task) {
    try {
      task.run();
    } catch (Throwable e) {
      ThreadFailures.record(name, e, "the task ends, the worker goes on");
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    executor.shutdownNow();
  }
}
