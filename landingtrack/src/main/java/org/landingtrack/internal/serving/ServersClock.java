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
 * The clock that all backend servers share, as this VM knows it from what they tell. The way of an
 * answer makes a telling late, so the one that was least late counts. It is never taken to be
 * further than it is, but may be known late: by how long the first answer lay in a socket while
 * this VM stood still. Runs on the event loop.
 */
public final class ServersClock {
  /** A difference that is never confirmed shrinks by one part in so many, for clocks that drift. */
  private static final long DRIFT_PARTS = 1_000;

  private boolean known;
  private long aheadMs;
  private long sinceMs;

  /**
   * Notes a time that a server told.
   *
   * @return by how much the servers' clock is further than was known: what was found to have been
   *     told at a time of the event loop was told so much earlier
   */
  public long told(long serversMs, long nowMs) {
    long said = serversMs - nowMs;
    long driftMs = (nowMs - sinceMs) / DRIFT_PARTS;
    if (known && said < aheadMs - driftMs) {
      return 0;
    }
    long furtherMs = known ? Math.max(0, said - aheadMs) : 0;
    known = true;
    aheadMs = said;
    sinceMs = nowMs;
    return furtherMs;
  }

  /** Returns the servers' time at a time of the event loop; empty before any was told. */
  public OptionalLong at(long loopMs) {
    return known && loopMs != Long.MAX_VALUE
        ? OptionalLong.of(loopMs + aheadMs)
        : OptionalLong.empty();
  }

  /** Returns the time of the event loop at a time of the servers, but no later than now. */
  long loopMs(long serversMs, long nowMs) {
    return known ? Math.min(nowMs, serversMs - aheadMs) : nowMs;
  }
}
