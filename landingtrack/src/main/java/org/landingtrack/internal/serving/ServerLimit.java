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
import java.util.Deque;

/**
 * The request limit that one incarnation of a backend server reported for all VMs together, and the
 * requests that this VM sent recently. Not thread-safe.
 */
final class ServerLimit {
  /** Minimum length of the window within which a limit is shared among the VMs. */
  static final long WINDOW_MS = 4_000;

  /**
   * Lower bound of the shared rate, which matters for a limit of zero. Without one request in ten
   * seconds, no VM would learn that the limit was lifted.
   */
  private static final double LEAST_PER_SECOND = 0.1;

  private static final double MS_PER_SECOND = 1_000;

  private boolean isOver = true;
  private double perSecond;
  private long saidAtMs = Long.MIN_VALUE;
  private final Deque<Long> sends = new ArrayDeque<>();

  /**
   * Applies a limit that the server reported at a time, unless a later report is known.
   *
   * @return true if that changes what is known
   */
  boolean named(double limitPerSecond, long atMs) {
    if (atMs < saidAtMs) {
      return false;
    }
    boolean isNew = isOver || perSecond != limitPerSecond;
    isOver = false;
    perSecond = limitPerSecond;
    saidAtMs = atMs;
    return isNew;
  }

  /** Applies a report that there is no limit any more; returns true if one was known. */
  boolean ended(long atMs) {
    if (isOver || atMs < saidAtMs) {
      return false;
    }
    isOver = true;
    saidAtMs = atMs;
    sends.clear();
    return true;
  }

  /**
   * Returns true if an answer without a limit proves that the limit was lifted. Answers may
   * overtake each other, so its request must have been sent after this VM learned of the limit.
   */
  boolean isEndedByAnswerTo(long sentAtMs) {
    return !isOver && sentAtMs > saidAtMs;
  }

  boolean isOver() {
    return isOver;
  }

  /**
   * Returns when the report arrived from the server at any VM, on the event loop's clock. A report
   * of another VM counts as later than it was by its network delay.
   */
  long saidAtMs() {
    return saidAtMs;
  }

  /** Returns the limit as the server reported it. */
  double named() {
    return perSecond;
  }

  /** Returns the number of requests per second that all VMs together send. */
  double perSecond() {
    return Math.max(LEAST_PER_SECOND, perSecond);
  }

  /**
   * Returns the number of requests, at least one, that all VMs together send within {@link
   * #windowMs}.
   */
  int inWindow() {
    return (int) Math.ceil(perSecond() * WINDOW_MS / MS_PER_SECOND);
  }

  /**
   * Returns the window over which sent requests are counted. It is chosen so that the limit is a
   * whole number of requests in it, because a fraction would be rounded up to a whole request in
   * each window.
   */
  long windowMs() {
    return Math.round(inWindow() * MS_PER_SECOND / perSecond());
  }

  /** Notes that this VM sends a request. */
  void sent(long nowMs) {
    sends.add(nowMs);
  }

  /** Returns the number of requests that this VM sent within the last {@link #windowMs}. */
  int sentLately(long nowMs) {
    while (!sends.isEmpty() && nowMs - sends.peek() >= windowMs()) {
      sends.remove();
    }
    return sends.size();
  }
}
