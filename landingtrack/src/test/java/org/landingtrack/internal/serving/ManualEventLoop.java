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
package org.landingtrack.internal.serving;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;

/** An event loop whose clock moves only when a test advances it. */
public final class ManualEventLoop implements EventLoop {
  private final PriorityQueue<Scheduled> scheduled =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::order));
  private final Deque<Runnable> readyTasks = new ArrayDeque<>();
  private long nowMs = 1_000_000;
  private long order;

  private record Scheduled(long atMs, long order, Runnable task) {}

  @Override
  public long millis() {
    return nowMs;
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    Scheduled entry = new Scheduled(nowMs + delayMs, order++, task);
    scheduled.add(entry);
    return () -> scheduled.remove(entry);
  }

  @Override
  public void execute(Runnable task) {
    readyTasks.add(task);
  }

  /** Advances the clock, and runs the tasks that fall due. */
  public void advance(long ms) {
    long end = nowMs + ms;
    runReadyTasks();
    while (!scheduled.isEmpty() && scheduled.peek().atMs() <= end) {
      Scheduled next = scheduled.poll();
      nowMs = Math.max(nowMs, next.atMs());
      next.task().run();
      runReadyTasks();
    }
    nowMs = end;
  }

  private void runReadyTasks() {
    while (!readyTasks.isEmpty()) {
      readyTasks.poll().run();
    }
  }
}
