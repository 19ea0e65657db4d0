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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An executor that runs tasks in the calling thread, either at once or when the test runs them. Not
 * thread-safe.
 */
final class ManualExecutor extends AbstractExecutorService {
  private final Deque<Runnable> queue = new ArrayDeque<>();
  private boolean paused;
  private boolean closed;

  /** Queues all further tasks until {@link #runNext} or {@link #resume}. */
  void pause() {
    paused = true;
  }

  /** Runs the given number of queued tasks, the oldest first. */
  void runNext(int count) {
    for (int i = 0; i < count; i++) {
      queue.remove().run();
    }
  }

  /** Removes the oldest queued task and returns it without running it. */
  Runnable removeFirst() {
    return queue.remove();
  }

  /** Returns the number of queued tasks. */
  int queueSize() {
    return queue.size();
  }

  /** Runs all queued tasks; further tasks run at once. */
  void resume() {
    paused = false;
    runNext(queue.size());
  }

  @Override
  public void execute(Runnable task) {
    if (paused) {
      queue.add(task);
      return;
    }
    task.run();
  }

  @Override
  public void shutdown() {
    closed = true;
  }

  @Override
  public List<Runnable> shutdownNow() {
    closed = true;
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return closed;
  }

  @Override
  public boolean isTerminated() {
    return closed;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return closed;
  }
}
