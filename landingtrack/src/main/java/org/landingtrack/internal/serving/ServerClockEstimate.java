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

import java.util.OptionalLong;

/**
 * Estimates the clock that all backend servers share, from the times in their answers. Network and
 * queueing delays only make an observed time late, so the least delayed observation counts. The
 * estimate is never ahead of the real clock, but may be behind it by the time that the first answer
 * lay in a socket while this VM was suspended. Not thread-safe; used on the event loop only.
 */
public final class ServerClockEstimate {
  /**
   * An offset that is not confirmed shrinks by 1/1000 of the elapsed time, to allow for clock
   * drift.
   */
  private static final long DRIFT_DIVISOR = 1_000;

  private boolean isKnown;
  private long offsetMs;
  private long updatedAtMs;

  /**
   * Notes a time that a server reported.
   *
   * @return by how much the estimate moved forward, in milliseconds. An event loop time that was
   *     derived from a server time before this call is too late by this amount.
   */
  public long observe(long serverMs, long nowMs) {
    long observedOffsetMs = serverMs - nowMs;
    long driftMs = (nowMs - updatedAtMs) / DRIFT_DIVISOR;
    if (isKnown && observedOffsetMs < offsetMs - driftMs) {
      return 0;
    }
    long advanceMs = isKnown ? Math.max(0, observedOffsetMs - offsetMs) : 0;
    isKnown = true;
    offsetMs = observedOffsetMs;
    updatedAtMs = nowMs;
    return advanceMs;
  }

  /** Returns the servers' time at a time of the event loop; empty before the first observation. */
  public OptionalLong serverTimeAt(long loopMs) {
    return isKnown && loopMs != Long.MAX_VALUE
        ? OptionalLong.of(loopMs + offsetMs)
        : OptionalLong.empty();
  }

  /** Returns the event loop time at a time of the servers, but no later than now. */
  long loopTimeAt(long serverMs, long nowMs) {
    return isKnown ? Math.min(nowMs, serverMs - offsetMs) : nowMs;
  }
}
