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
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.base.WaitTicker;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.Revision;
import org.landingtrack.internal.platform.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A lease with a fencing token, stored as a {@link LeaseRecord} in the Object API.
 *
 * <p>Wall clocks are not compared. Another process may take over the lease only after it has seen
 * the record unchanged for the whole duration plus a margin for clock drift, by its {@link
 * WaitTicker}. The holder counts by its {@link Ticker} from the time before it sent its last
 * successful renewal and stops at {@link #HOLD_SHARE} of the duration. A holder that was suspended
 * may still consider itself the holder for an instant; every order therefore carries the fencing
 * token.
 *
 * <p>A store that was rolled back to an older copy may have lost the current holder. A process that
 * detects a rollback, or reads such a store for the first time, acquires nothing until a lease that
 * the store has lost must have expired. Tokens continue above all earlier ones.
 *
 * <p>{@link #acquireOrRenew}, {@link #observe} and {@link #previousHolderUntilWaitMs} are called by
 * one thread; {@link #token} may be called by any thread.
 */
public final class Lease {
  /** Share of the duration after which a holder without a renewal stops on its own. */
  static final double HOLD_SHARE = 0.6;

  /** Factor by which others wait longer than the duration, as a margin for clock drift. */
  static final double DRIFT_FACTOR = 1.1;

  /** Number of bits for the epochs within one generation of the store. */
  private static final int EPOCH_BITS = 32;

  /** Most characters of a record; one has about 100. */
  private static final int MAX_RECORD_CHARS = 4_096;

  /** Stands for the holder of an unreadable record; no process has this name. */
  private static final String UNKNOWN_HOLDER = "?";

  private static final Logger log = LoggerFactory.getLogger("store");

  private final ObjectApi api;
  private final Ticker ticker;
  private final WaitTicker waitTicker;
  private final String key;
  private final String self;
  private final long durationMs;

  private long lastSeenVersion = -1;
  private long versionSeenAtWaitMs;
  private long previousHolderUntilWaitMs = Long.MIN_VALUE;
  private long generation = -1;
  private long generationSeenAtWaitMs;
  private boolean isUnreadableLogged;
  private volatile long epoch;
  private volatile long holdUntilMs = Long.MIN_VALUE;

  /**
   * Creates a lease that is not held yet; makes no call to the store.
   *
   * @param name name of the lease; its object is {@code leases/NAME}
   * @param self name of this process as holder
   * @param durationMs how long others wait for a renewal before they take over; at least 10
   */
  public Lease(
      ObjectApi api,
      Ticker ticker,
      WaitTicker waitTicker,
      String name,
      String self,
      long durationMs) {
    if (durationMs < 10) {
      throw new IllegalArgumentException("durationMs must be at least 10: " + durationMs);
    }
    this.api = api;
    this.ticker = ticker;
    this.waitTicker = waitTicker;
    this.key = "leases/" + name;
    this.self = self;
    this.durationMs = durationMs;
  }

  /** Returns the fencing token while this process holds the lease; empty otherwise. */
  public OptionalLong token() {
    long current = epoch;
    return ticker.millis() < holdUntilMs ? OptionalLong.of(current) : OptionalLong.empty();
  }

  /**
   * Returns the latest time, by this process's {@link WaitTicker}, until which a previous holder
   * may have held the lease before the current term; {@link Long#MIN_VALUE} if there was none.
   */
  public long previousHolderUntilWaitMs() {
    return previousHolderUntilWaitMs;
  }

  /**
   * Returns how long a new holder must wait before it sends orders to servers that do not check
   * fencing tokens.
   *
   * @param maxOrderMs longest time that an order may be in flight
   */
  public long handoverDelayMs(long maxOrderMs) {
    return (long) (durationMs * DRIFT_FACTOR) + maxOrderMs;
  }

  /**
   * Acquires or renews the lease if possible. Must be called several times per duration. Failures
   * of the store are ignored: without a renewal the lease expires.
   */
  public void acquireOrRenew() {
    try {
      Optional<StoredObject> stored = readRecord();
      if (stored.isEmpty()) {
        createRecord();
        return;
      }
      renewOrTakeOver(stored.get());
    } catch (PlatformException e) {
      // Without an answer the lease expires on its own.
    }
  }

  /**
   * Reads and records the state of the lease without acquiring it, so that a later term of this
   * process knows how long ago the previous one ended.
   */
  public void observe() {
    try {
      readRecord().ifPresent(this::recordVersion);
    } catch (PlatformException e) {
      // The record is seen by a later read, and then counts as newer than it is.
    }
  }

  /** Reads the record; a new generation of the store ends the term of this process. */
  private Optional<StoredObject> readRecord() {
    Optional<StoredObject> stored = api.read(CallClass.LEASE, key);
    if (api.generation() != generation) {
      generation = api.generation();
      generationSeenAtWaitMs = waitTicker.waitMillis();
      holdUntilMs = Long.MIN_VALUE;
    }
    return stored;
  }

  /** Returns the latest time until which a lease that the store has lost may still be held. */
  private long lostLeaseUntilWaitMs() {
    return generation == 0
        ? Long.MIN_VALUE
        : generationSeenAtWaitMs + (long) (durationMs * DRIFT_FACTOR);
  }

  private void createRecord() {
    if (waitTicker.waitMillis() < lostLeaseUntilWaitMs()) {
      return;
    }
    writeRecord(new LeaseRecord(self, nextEpoch(0), durationMs, 0), ObjectApi.ABSENT);
    previousHolderUntilWaitMs = lostLeaseUntilWaitMs();
  }

  /**
   * Returns the epoch after {@code previous}. In a later generation of the store it is above all
   * epochs that the store may have lost.
   */
  private long nextEpoch(long previous) {
    return Math.max(previous, generation << EPOCH_BITS) + 1;
  }

  /** Records the version of the lease record and when it was first seen. */
  private void recordVersion(StoredObject stored) {
    if (stored.version() != lastSeenVersion) {
      lastSeenVersion = stored.version();
      versionSeenAtWaitMs = waitTicker.waitMillis();
    }
  }

  /** Renews the lease if it is held here, or takes it over if it was released or has expired. */
  private void renewOrTakeOver(StoredObject stored) {
    LeaseRecord record = decode(stored);
    recordVersion(stored);
    if (isHeldHere(record)) {
      writeRecord(
          new LeaseRecord(self, record.epoch(), durationMs, record.renewals() + 1),
          stored.version());
      return;
    }
    long nowWaitMs = waitTicker.waitMillis();
    if (nowWaitMs < lostLeaseUntilWaitMs()) {
      return;
    }
    boolean expired = nowWaitMs - versionSeenAtWaitMs >= record.durationMs() * DRIFT_FACTOR;
    if (record.holder().isEmpty() || expired) {
      long previousUntilMs =
          versionSeenAtWaitMs + (record.holder().isEmpty() ? 0 : maxHoldMs(record));
      writeRecord(
          new LeaseRecord(self, nextEpoch(record.epoch()), durationMs, 0), stored.version());
      previousHolderUntilWaitMs = Math.max(previousUntilMs, lostLeaseUntilWaitMs());
    }
  }

  /**
   * Decodes a record. One that is unreadable counts as that of an unknown holder: it expires like
   * any other, and its epoch is taken to be the greatest that the store can have had. Each term was
   * written once, so no epoch exceeds the number of writes.
   */
  private LeaseRecord decode(StoredObject stored) {
    try {
      LeaseRecord record = read(stored);
      if (record.isValid()) {
        isUnreadableLogged = false;
        return record;
      }
    } catch (LandingtrackException e) {
      // Handled below, like a record whose values are out of range.
    }
    if (!isUnreadableLogged) {
      isUnreadableLogged = true;
      log.atWarn().addKeyValue("entry", key).log("entry unreadable");
    }
    long generationEpoch = Revision.generation(stored.version()) << EPOCH_BITS;
    long maxEpoch = generationEpoch + Revision.number(stored.version());
    return new LeaseRecord(UNKNOWN_HOLDER, Math.max(epoch, maxEpoch), durationMs, 0);
  }

  private LeaseRecord read(StoredObject stored) {
    if (stored.value().length() > MAX_RECORD_CHARS) {
      throw new LandingtrackException(ErrorKind.BAD_REQUEST, key + ": the record is too long");
    }
    return Json.read(key, stored.value(), LeaseRecord.class);
  }

  /** Returns how long, by this clock, the holder may rely on a renewal that was just seen. */
  private static long maxHoldMs(LeaseRecord record) {
    return (long) (record.durationMs() * HOLD_SHARE * DRIFT_FACTOR);
  }

  /**
   * Returns true if the record is of the current term of this process. A record in its name counts
   * only while the lease is held: after it expired, or after a restart of this VM, the lease is
   * acquired with a new epoch as by any other process.
   */
  private boolean isHeldHere(LeaseRecord record) {
    return record.holder().equals(self) && record.epoch() == epoch && ticker.millis() < holdUntilMs;
  }

  /** Writes the record; if that succeeds, the lease is held from the time of sending. */
  private void writeRecord(LeaseRecord record, long expectedVersion) {
    long sentMs = ticker.millis();
    long sentWaitMs = waitTicker.waitMillis();
    StoredObject written = api.write(CallClass.LEASE, key, Json.write(record), expectedVersion);
    lastSeenVersion = written.version();
    versionSeenAtWaitMs = sentWaitMs;
    epoch = record.epoch();
    holdUntilMs = sentMs + (long) (durationMs * HOLD_SHARE);
  }

  /** Releases the lease if it is held, so that the next holder need not wait for its expiry. */
  public void release() {
    if (token().isEmpty()) {
      return;
    }
    holdUntilMs = Long.MIN_VALUE;
    try {
      api.write(
          CallClass.LEASE,
          key,
          Json.write(new LeaseRecord("", epoch, durationMs, 0)),
          lastSeenVersion);
    } catch (PlatformException e) {
      // The lease expires on its own.
    }
  }
}
