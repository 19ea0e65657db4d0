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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread for one duty, fed through a bounded ring. A full ring refuses new work at once, so
 * that a slow duty never takes memory without bound. Thread-safe.
 */
public final class Duty implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("duty");

  private final String name;
  private final ThreadPoolExecutor executor;
  private final ScheduledExecutorService timer;

  private Duty(String name, int ringSize) {
    this.name = name;
    this.executor =
        new ThreadPoolExecutor(
            1,
            1,
            0,
            TimeUnit.SECONDS,
            new ArrayBlockingQueue<>(ringSize),
            daemon(name),
            new ThreadPoolExecutor.AbortPolicy());
    this.timer = Executors.newSingleThreadScheduledExecutor(daemon(name + "-timer"));
  }

  /** Starts a duty whose ring holds {@code ringSize} entries. */
  public static Duty start(String name, int ringSize) {
    return new Duty(name, ringSize);
  }

  /** Returns a factory of daemon threads with a common name. */
  public static ThreadFactory daemon(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  /** Hands work to the duty; returns false if the ring is full or the duty is closed. */
  public boolean offer(Runnable task) {
    try {
      executor.execute(() -> runGuarded(task));
      return true;
    } catch (RejectedExecutionException e) {
      return false;
    }
  }

  /** Runs a task on the duty's thread again and again, with a pause in between. */
  public Duty every(long periodMs, Runnable task) {
    var unused =
        timer.scheduleWithFixedDelay(() -> offer(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    return this;
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.warn("Duty {} failed once and goes on: {}.", name, e.toString());
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    executor.shutdownNow();
  }
}
