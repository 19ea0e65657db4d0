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

/**
 * Counts the requests in flight, limits them, and admits no more once a planned stop has begun.
 * Thread-safe.
 */
public final class InFlightRequests {
  private final int maxConcurrent;
  private int count;
  private boolean closed;

  public InFlightRequests(int maxConcurrent) {
    this.maxConcurrent = maxConcurrent;
  }

  /** Admits a request unless this is closed or the limit is reached; returns whether it did. */
  synchronized boolean tryAcquire() {
    if (closed || count >= maxConcurrent) {
      return false;
    }
    count++;
    return true;
  }

  /** Ends a request that {@link #tryAcquire} admitted. */
  synchronized void release() {
    count--;
    notifyAll();
  }

  /** Admits no further requests; those in flight go on. */
  public synchronized void close() {
    closed = true;
  }

  /** Returns true after {@link #close}. */
  public synchronized boolean isClosed() {
    return closed;
  }

  /** Waits until no request is in flight or the timeout ends; returns how many are left. */
  public synchronized int awaitEmpty(long timeoutMs) throws InterruptedException {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    while (count > 0) {
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        break;
      }
      wait(remainingMs);
    }
    return count;
  }

  /** Returns the number of requests in flight. */
  public synchronized int count() {
    return count;
  }
}
