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

import org.landingtrack.internal.base.Ticker;

/** The single thread on which requests are served, with its clock. Tests use a manual one. */
public interface EventLoop extends Ticker {
  /** Runs a task on the loop after a delay in milliseconds. */
  Timer schedule(long delayMs, Runnable task);

  /** Queues a task to run on the loop. Safe to call from any thread. */
  void execute(Runnable task);

  /** A handle of a scheduled task. */
  @FunctionalInterface
  interface Timer {
    /** Cancels the task; has no effect if it has run. */
    void cancel();
  }
}
