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
package org.landingtrack.internal.caller;

/** Counts the requests in flight and closes the door for a planned stop. Thread-safe. */
public final class InFlight {
  private final int max;
  private int count;
  private boolean closed;

  public InFlight(int max) {
    this.max = max;
  }

  /** Lets a request in unless the door is closed or too many are in. */
  synchronized boolean tryEnter() {
    if (closed || count >= max) {
      return false;
    }
    count++;
    return true;
  }

  synchronized void leave() {
    count--;
    notifyAll();
  }

  /** Closes the door. */
  public synchronized void close() {
    closed = true;
  }

  /** Returns true after {@link #close}. */
  public synchronized boolean isClosed() {
    return closed;
  }

  /** Waits until all requests have ended, at most so long; returns how many are left. */
  public synchronized int awaitEmpty(long timeoutMs) throws InterruptedException {
    long end = System.nanoTime() + timeoutMs * 1_000_000;
    while (count > 0) {
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    return count;
  }

  /** Returns the number of requests in flight. */
  public synchronized int count() {
    return count;
  }
}
