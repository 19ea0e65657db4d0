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
 * Tells for how long this process has run without standing still. What it reads right after it
 * stood still may have waited in its sockets. Thread-safe.
 */
public final class Awake {
  /** Between ticks on a busy VM; a longer pause is taken for standing still. */
  private static final long GAP_MS = 500;

  private final Ticker ticker;
  private long tickMs;
  private long sinceMs;

  public Awake(Ticker ticker) {
    this.ticker = ticker;
    this.tickMs = ticker.millis();
    this.sinceMs = tickMs;
  }

  /** Notes that the process runs; call it several times in half a second. */
  public synchronized void tick() {
    long now = ticker.millis();
    if (now - tickMs > GAP_MS) {
      sinceMs = now;
    }
    tickMs = now;
  }

  /** Returns for how many milliseconds the process has run; 0 if it may just be waking. */
  public synchronized long forMs() {
    long now = ticker.millis();
    return now - tickMs > GAP_MS ? 0 : now - sinceMs;
  }
}
