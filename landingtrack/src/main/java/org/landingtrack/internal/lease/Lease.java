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
package org.landingtrack.internal.lease;

import java.util.Optional;
import java.util.OptionalLong;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;

/**
 * A lease in the Object API with a fencing token.
 *
 * <p>No wall clock is compared. Another process may take the lease only after it has itself seen
 * the record unchanged for the whole duration plus a margin for clock drift. The holder counts from
 * before it sent its last successful renewal and stops at {@link #HOLD_SHARE} of the duration. A
 * holder that was paused may still believe in its lease for an instant; that is what the token in
 * every order is for.
 *
 * <p>A store that comes back from an older copy has lost who holds the lease. Whoever sees that, or
 * reads such a store for the first time, takes nothing before a holding that was lost must be over;
 * tokens go on above all that were given before.
 *
 * <p>{@link #step}, {@link #look} and {@link #beforeUntilMs} are called by one thread; {@link
 * #token} by any.
 */
public final class Lease {
  /** Share of the duration after which the holder stops by itself. */
  static final double HOLD_SHARE = 0.6;

  /** How much longer than the duration others wait. */
  static final double DRIFT_MARGIN = 1.1;

  /** A generation has room for so many bits of holdings. */
  private static final int GENERATION_SHIFT = 32;

  private final ObjectApi api;
  private final Ticker ticker;
  private final String key;
  private final String self;
  private final long durationMs;

  private long seenVersion = -1;
  private long seenSinceMs;
  private long beforeUntilMs = Long.MIN_VALUE;
  private long generation = -1;
  private long unsureSinceMs;
  private volatile long epoch;
  private volatile long holdUntilMs = Long.MIN_VALUE;

  public Lease(ObjectApi api, Ticker ticker, String name, String self, long durationMs) {
    if (durationMs < 10) {
      throw new IllegalArgumentException("durationMs must be at least 10: " + durationMs);
    }
    this.api = api;
    this.ticker = ticker;
    this.key = "leases/" + name;
    this.self = self;
    this.durationMs = durationMs;
  }

  /** Returns the fencing token while the lease is held here; empty otherwise. */
  public OptionalLong token() {
    long held = epoch;
    return ticker.millis() < holdUntilMs ? OptionalLong.of(held) : OptionalLong.empty();
  }

  /**
   * Returns until when another holder may have held the lease before this holding, by this
   * process's clock and at the latest; the smallest number if there was none.
   */
  public long beforeUntilMs() {
    return beforeUntilMs;
  }

  /** Returns how long a new holder must wait before orders to servers that check no fences. */
  public long settleMs(long longestOrderMs) {
    return (long) (durationMs * DRIFT_MARGIN) + longestOrderMs;
  }

  /** Acquires or renews if possible. Call it several times in a duration. */
  public void step() {
    try {
      Optional<StoredObject> stored = read();
      if (stored.isEmpty()) {
        create();
        return;
      }
      consider(stored.get());
    } catch (PlatformException e) {
      // Without an answer the holding runs out by itself.
    }
  }

  /**
   * Notes what is written without seeking the lease. A holding that comes later then knows that the
   * one before ended long ago.
   */
  public void look() {
    try {
      read().ifPresent(this::see);
    } catch (PlatformException e) {
      // It is seen later, and then counts as newer than it is.
    }
  }

  private Optional<StoredObject> read() {
    Optional<StoredObject> stored = api.read(CallClass.LEASE, key);
    if (api.generation() != generation) {
      generation = api.generation();
      unsureSinceMs = ticker.millis();
      holdUntilMs = Long.MIN_VALUE;
    }
    return stored;
  }

  /** Returns until when a holding that the store has forgotten may last, by its longest time. */
  private long forgottenUntilMs() {
    return generation == 0 ? Long.MIN_VALUE : unsureSinceMs + (long) (durationMs * DRIFT_MARGIN);
  }

  private void create() {
    if (ticker.millis() < forgottenUntilMs()) {
      return;
    }
    write(new LeaseRecord(self, nextEpoch(0), durationMs, 0), ObjectApi.ABSENT);
    beforeUntilMs = forgottenUntilMs();
  }

  /** Tokens of a later generation of the store are above all that it may have forgotten. */
  private long nextEpoch(long before) {
    return Math.max(before, generation << GENERATION_SHIFT) + 1;
  }

  private void see(StoredObject stored) {
    if (stored.version() != seenVersion) {
      seenVersion = stored.version();
      seenSinceMs = ticker.millis();
    }
  }

  private void consider(StoredObject stored) {
    LeaseRecord record = Json.read(key, stored.value(), LeaseRecord.class);
    see(stored);
    long now = ticker.millis();
    if (isOurs(record)) {
      write(
          new LeaseRecord(self, record.epoch(), durationMs, record.renewals() + 1),
          stored.version());
      return;
    }
    if (now < forgottenUntilMs()) {
      return;
    }
    boolean lapsed = now - seenSinceMs >= record.durationMs() * DRIFT_MARGIN;
    if (record.holder().isEmpty() || lapsed) {
      long until = seenSinceMs + (record.holder().isEmpty() ? 0 : longestHoldMs(record));
      write(new LeaseRecord(self, nextEpoch(record.epoch()), durationMs, 0), stored.version());
      beforeUntilMs = Math.max(until, forgottenUntilMs());
    }
  }

  /** How long a renewal that was just seen may be relied on by its holder, by this clock. */
  private static long longestHoldMs(LeaseRecord record) {
    return (long) (record.durationMs() * HOLD_SHARE * DRIFT_MARGIN);
  }

  /**
   * A record in our name counts only while we still hold it: after a lapse, or from an earlier life
   * of this VM, a new epoch is taken like anybody else's.
   */
  private boolean isOurs(LeaseRecord record) {
    return record.holder().equals(self) && record.epoch() == epoch && ticker.millis() < holdUntilMs;
  }

  private void write(LeaseRecord record, long expectedVersion) {
    long sentMs = ticker.millis();
    StoredObject written = api.write(CallClass.LEASE, key, Json.write(record), expectedVersion);
    seenVersion = written.version();
    seenSinceMs = sentMs;
    epoch = record.epoch();
    holdUntilMs = sentMs + (long) (durationMs * HOLD_SHARE);
  }

  /** Gives the lease back, so that the next holder need not wait. */
  public void release() {
    if (token().isEmpty()) {
      return;
    }
    holdUntilMs = Long.MIN_VALUE;
    try {
      api.write(
          CallClass.LEASE, key, Json.write(new LeaseRecord("", epoch, durationMs, 0)), seenVersion);
    } catch (PlatformException e) {
      // It lapses by itself.
    }
  }
}
