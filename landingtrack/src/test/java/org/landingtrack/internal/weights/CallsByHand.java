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

/** Callers that run a call at once, or when the test says. For one thread. */
final class CallsByHand extends AbstractExecutorService {
  private final Deque<Runnable> held = new ArrayDeque<>();
  private boolean holding;
  private boolean closed;

  /** Keeps the calls that come from now on until {@link #run}. */
  void hold() {
    holding = true;
  }

  /** Runs the oldest calls that were kept. */
  void run(int count) {
    for (int i = 0; i < count; i++) {
      held.remove().run();
    }
  }

  /** Takes out the oldest call that was kept. */
  Runnable takeFirst() {
    return held.remove();
  }

  /** Returns how many calls are kept. */
  int waiting() {
    return held.size();
  }

  /** Runs all calls that were kept, and those to come at once. */
  void release() {
    holding = false;
    run(held.size());
  }

  @Override
  public void execute(Runnable call) {
    if (holding) {
      held.add(call);
      return;
    }
    call.run();
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
