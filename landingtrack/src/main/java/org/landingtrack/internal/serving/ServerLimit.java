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
  private static final double MIN_PER_SECOND = 0.1;

  private static final double MS_PER_SECOND = 1_000;

  private boolean isLifted = true;
  private double perSecond;
  private long reportedAtMs = Long.MIN_VALUE;
  private final Deque<Long> sends = new ArrayDeque<>();

  /**
   * Applies a limit that the server reported at a time, unless a later report is known.
   *
   * @return true if that changes what is known
   */
  boolean reported(double limitPerSecond, long atMs) {
    if (atMs < reportedAtMs) {
      return false;
    }
    boolean isNew = isLifted || perSecond != limitPerSecond;
    isLifted = false;
    perSecond = limitPerSecond;
    reportedAtMs = atMs;
    return isNew;
  }

  /** Applies a report that there is no limit any more; returns true if one was known. */
  boolean lift(long atMs) {
    if (isLifted || atMs < reportedAtMs) {
      return false;
    }
    isLifted = true;
    reportedAtMs = atMs;
    sends.clear();
    return true;
  }

  /**
   * Returns true if an answer without a limit proves that the limit was lifted. Answers may
   * overtake each other, so its request must have been sent after this VM learned of the limit.
   */
  boolean isLiftedByAnswerTo(long sentAtMs) {
    return !isLifted && sentAtMs > reportedAtMs;
  }

  boolean isLifted() {
    return isLifted;
  }

  /**
   * Returns when the report arrived from the server at any VM, on the event loop's clock. A report
   * of another VM counts as later than it was by its network delay.
   */
  long reportedAtMs() {
    return reportedAtMs;
  }

  /** Returns the limit as the server reported it. */
  double reported() {
    return perSecond;
  }

  /** Returns the number of requests per second that all VMs together send. */
  double perSecond() {
    return Math.max(MIN_PER_SECOND, perSecond);
  }

  /**
   * Returns the number of requests, at least one, that all VMs together send within {@link
   * #windowMs}.
   */
  int requestsPerWindow() {
    return (int) Math.ceil(perSecond() * WINDOW_MS / MS_PER_SECOND);
  }

  /**
   * Returns the window over which sent requests are counted. It is chosen so that the limit is a
   * whole number of requests in it, because a fraction would be rounded up to a whole request in
   * each window.
   */
  long windowMs() {
    return Math.round(requestsPerWindow() * MS_PER_SECOND / perSecond());
  }

  /** Notes that this VM sends a request. */
  void sent(long nowMs) {
    sends.add(nowMs);
  }

  /** Returns the number of requests that this VM sent within the last {@link #windowMs}. */
  int recentSends(long nowMs) {
    while (!sends.isEmpty() && nowMs - sends.peek() >= windowMs()) {
      sends.remove();
    }
    return sends.size();
  }
}
