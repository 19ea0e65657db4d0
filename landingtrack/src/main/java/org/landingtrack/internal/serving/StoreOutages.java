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

import org.landingtrack.internal.base.Ticker;

/**
 * Decides whether the list of servers in the platform's store may be outdated after an outage:
 * entries may have expired while the store was unreachable, and an older copy of the store may list
 * servers that ended long ago. Not thread-safe.
 */
final class StoreOutages {
  /**
   * Time within which entries of ended servers that came back with an older copy of the store
   * expire.
   */
  private static final long STALE_COPY_MS = 5_000;

  private final Ticker ticker;
  private final long expiryGraceMs;
  private long listedAtMs;
  private long recoveredAtMs;
  private long rolledBackAtMs = Long.MIN_VALUE / 2;

  /**
   * An entry whose removal was learned at or after this time may only have expired. That doubt ends
   * {@link #expiryGraceMs} after the store's recovery.
   */
  private long uncertainSinceMs;

  /**
   * Creates the state of a store without an outage.
   *
   * @param graceMs how long after the store's recovery a missing entry may still come back
   */
  StoreOutages(Ticker ticker, long graceMs) {
    this.ticker = ticker;
    this.expiryGraceMs = graceMs;
    this.recoveredAtMs = -graceMs;
  }

  /** Notes that all entries were read. */
  void listed() {
    listedAtMs = ticker.millis();
  }

  /** Notes that the store answers again. Failures in close succession count as one outage. */
  void onRecovered() {
    long now = ticker.millis();
    if (now - recoveredAtMs >= expiryGraceMs) {
      uncertainSinceMs = listedAtMs;
    }
    recoveredAtMs = now;
  }

  /** Notes that the store came back from an older copy. */
  void onRolledBack() {
    rolledBackAtMs = ticker.millis();
  }

  /** Returns true while listed entries may be outdated ones of an older copy. */
  boolean mayBeStale() {
    return ticker.millis() - rolledBackAtMs < STALE_COPY_MS;
  }

  /** Returns true if an entry whose removal was learned at a time may only have expired. */
  boolean mayHaveExpired(long heardGoneAtMs) {
    return heardGoneAtMs >= uncertainSinceMs && ticker.millis() - recoveredAtMs < expiryGraceMs;
  }
}
