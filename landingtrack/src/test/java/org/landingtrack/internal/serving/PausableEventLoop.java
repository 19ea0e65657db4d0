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
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

/**
 * The event loop of a VM that can stand still. Meanwhile the clock goes on, and what is due or
 * arrives waits. When the VM goes on, timers run in their order; what arrived on connections runs
 * in a random order between them, and so do datagrams, which may be read later than all else.
 */
final class PausableEventLoop implements EventLoop {
  /** Time in which a VM that goes on handles what has waited. */
  private static final int CATCH_UP_MS = 20;

  /** Datagrams that the buffer of a socket holds; further ones are lost. */
  private static final int MAX_WAITING_DATAGRAMS = 256;

  private final ManualEventLoop clock;
  private final Random random;
  private final Deque<Runnable> dueTasks = new ArrayDeque<>();
  private final List<Runnable> arrivals = new ArrayList<>();
  private final List<Runnable> datagrams = new ArrayList<>();
  private boolean isPaused;

  /** Creates a loop that runs its tasks on another one, whose clock it shares. */
  PausableEventLoop(ManualEventLoop clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  @Override
  public long millis() {
    return clock.millis();
  }

  @Override
  public Timer schedule(long delayMs, Runnable task) {
    boolean[] isCancelled = {false};
    Runnable unlessCancelled =
        () -> {
          if (!isCancelled[0]) {
            task.run();
          }
        };
    Timer timer = clock.schedule(delayMs, () -> runDue(unlessCancelled));
    return () -> {
      isCancelled[0] = true;
      timer.cancel();
    };
  }

  @Override
  public void execute(Runnable task) {
    clock.execute(() -> runDue(task));
  }

  private void runDue(Runnable task) {
    if (isPaused) {
      dueTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Handles something that arrives on a connection. */
  void deliver(Runnable task) {
    if (isPaused) {
      arrivals.add(task);
    } else {
      task.run();
    }
  }

  /** Handles a datagram that arrives. */
  void deliverDatagram(Runnable task) {
    if (!isPaused) {
      task.run();
    } else if (datagrams.size() < MAX_WAITING_DATAGRAMS) {
      datagrams.add(task);
    }
  }

  boolean isPaused() {
    return isPaused;
  }

  /** Lets the VM stand still. */
  void pause() {
    isPaused = true;
  }

  /** Lets the VM go on. */
  void resume() {
    isPaused = false;
    long delayMs = 0;
    for (Runnable task : dueTasks) {
      delayMs = Math.min(CATCH_UP_MS, delayMs + random.nextInt(4));
      clock.schedule(delayMs, () -> runDue(task));
    }
    for (Runnable task : arrivals) {
      clock.schedule(random.nextInt(CATCH_UP_MS + 1), () -> deliver(task));
    }
    int readAfterMs = random.nextInt(CATCH_UP_MS + 1);
    for (Runnable task : datagrams) {
      int afterMs = readAfterMs + random.nextInt(CATCH_UP_MS + 1);
      clock.schedule(afterMs, () -> deliverDatagram(task));
    }
    dueTasks.clear();
    arrivals.clear();
    datagrams.clear();
  }
}
