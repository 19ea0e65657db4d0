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
package org.landingtrack.internal.protection;

/**
 * Limits the rate at which an overloaded VM accepts connections. A connection that is closed before
 * anything was read did not run, and its caller opens another one, most likely at another VM. That
 * is better for the caller than a request that is read and then refused or late.
 *
 * <p>The limit follows the VM's own lag, by additive increase and multiplicative decrease, so it
 * needs no estimate of what a request costs. There is no limit while the event loop keeps up. Not
 * thread-safe.
 */
public final class ConnectionAdmission {
  /** Lag of the event loop above which the VM accepts more than it can serve. */
  private static final double OVERLOADED_LAG_MS = 100;

  /** Lag below which the VM has capacity for more connections. */
  private static final double RECOVERED_LAG_MS = 50;

  /**
   * Overloaded intervals before each decrease. One is not enough: it may contain a garbage
   * collection or a suspension of the VM, and a decrease takes effect only as answers end.
   */
  private static final int INTERVALS_TO_DECREASE = 2;

  private static final double DECREASE = 0.5;
  private static final double INCREASE = 1.1;

  /** An idle VM has to find out that the load is over, and callers need some VM. */
  private static final double MIN_LIMIT = 1;

  /** Intervals without a closed connection after which the limit ends. */
  private static final int INTERVALS_TO_END = 5;

  private double limit = Double.MAX_VALUE;
  private int accepted;
  private int closed;
  private int overloadedIntervals;
  private int quietIntervals;
  private long totalClosed;

  /** Returns true if a connection may be accepted, and false if it has to be closed unread. */
  public boolean tryAccept() {
    if (accepted >= limit) {
      closed++;
      totalClosed++;
      return false;
    }
    accepted++;
    return true;
  }

  /**
   * Ends an interval, and sets the limit for the next one.
   *
   * @param lagMs how late the event loop was at the end of the interval
   */
  public void endInterval(double lagMs) {
    overloadedIntervals = lagMs >= OVERLOADED_LAG_MS ? overloadedIntervals + 1 : 0;
    if (overloadedIntervals >= INTERVALS_TO_DECREASE) {
      overloadedIntervals = 0;
      limit = Math.max(MIN_LIMIT, Math.min(limit, accepted) * DECREASE);
    } else if (isLimited() && lagMs < RECOVERED_LAG_MS) {
      raiseLimit();
    }
    accepted = 0;
    closed = 0;
  }

  private void raiseLimit() {
    quietIntervals = closed == 0 ? quietIntervals + 1 : 0;
    if (quietIntervals >= INTERVALS_TO_END) {
      limit = Double.MAX_VALUE;
      quietIntervals = 0;
    } else if (closed > 0) {
      limit = limit * INCREASE + 1;
    }
  }

  /** Returns true while the rate of connections is limited. */
  public boolean isLimited() {
    return limit < Double.MAX_VALUE;
  }

  /** Returns the number of connections that were closed unread since the start. */
  public long totalClosed() {
    return totalClosed;
  }
}
