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
package org.landingtrack.internal.platform;

/**
 * Decides how long a feed waits after changes before its next watch, so that one call reads a burst
 * of changes. Delays do not add up while the store has further changes ready: after a few, the feed
 * reads without a delay until it has caught up. Not thread-safe.
 */
final class BatchDelay {
  /** Most delays before the feed has caught up; each holds back the changes behind it. */
  private static final int MAX_DELAYS = 2;

  /** Duration from which on a watch has waited for its changes, in milliseconds. */
  private static final long WAITED_MS = 50;

  private int delays;
  private boolean followsDelay;

  /** Starts anew, after a list or a failure. */
  void reset() {
    delays = 0;
    followsDelay = false;
  }

  /**
   * Returns how long to wait after a watch, in milliseconds.
   *
   * @param hasChanges whether the watch reported changes
   * @param isFull whether its answer may have been ended early, with changes left
   * @param tookMs how long it took
   * @param delayMs the delay after a single change
   */
  long next(boolean hasChanges, boolean isFull, long tookMs, long delayMs) {
    if (isFull) {
      followsDelay = false;
      return 0;
    }
    boolean hasCaughtUp = !hasChanges || (!followsDelay && tookMs >= WAITED_MS);
    if (hasCaughtUp) {
      delays = 0;
    }
    followsDelay = hasChanges && delays < MAX_DELAYS;
    if (!followsDelay) {
      return 0;
    }
    delays++;
    return delayMs;
  }
}
