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
package org.landingtrack.internal.base;

/**
 * Detects stalls of this process, such as a suspended VM or a long pause of the JVM, and returns
 * for how long the process has run since the last one. Data that is read right after a stall may
 * have waited in the socket buffers, so its age is unknown. Thread-safe.
 */
public final class StallDetector {
  /** Longest time between two ticks on a busy VM; a longer one is taken for a stall. */
  private static final long STALL_THRESHOLD_MS = 500;

  private final Ticker ticker;
  private long lastTickMs;
  private long runningSinceMs;

  public StallDetector(Ticker ticker) {
    this.ticker = ticker;
    this.lastTickMs = ticker.millis();
    this.runningSinceMs = lastTickMs;
  }

  /** Records that the process runs; must be called several times in half a second. */
  public synchronized void tick() {
    long nowMs = ticker.millis();
    if (nowMs - lastTickMs > STALL_THRESHOLD_MS) {
      runningSinceMs = nowMs;
    }
    lastTickMs = nowMs;
  }

  /**
   * Returns for how many milliseconds the process has run without a stall; 0 if it may be coming
   * out of one.
   */
  public synchronized long runningForMs() {
    long nowMs = ticker.millis();
    return nowMs - lastTickMs > STALL_THRESHOLD_MS ? 0 : nowMs - runningSinceMs;
  }
}
