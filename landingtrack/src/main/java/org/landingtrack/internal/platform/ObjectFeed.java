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

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows all objects under a prefix: lists them once, then watches for changes. Lists again after
 * any error, since a repeated watch may wait without receiving changes that the store no longer
 * keeps. Each feed runs on its own thread.
 */
public final class ObjectFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("store");

  /**
   * First and longest backoff after errors. They are short, since time limits keep running while
   * the store is unavailable.
   */
  private static final long INITIAL_BACKOFF_MS = 50;

  private static final long MAX_BACKOFF_MS = 400;
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  /** Shortest wait of a watch, in milliseconds: it reports the changes that exist. */
  private static final long NO_WAIT_MS = 1;

  /**
   * Consecutive failures that count as a store outage. A single failure may also come from a
   * connection that was cut or silent while the store was available. When a single failure was
   * reported as an outage and a recovery, servers that had left got requests for up to 7.5 s, where
   * 2 s are allowed.
   */
  private static final int OUTAGE_FAILURES = 2;

  private final ObjectApi api;
  private final String prefix;
  private final long waitMs;
  private final LongSupplier batchDelayMs;
  private final Ticker ticker;
  private final BatchDelay batchDelay = new BatchDelay();
  private final Sink sink;
  private final Backoff backoff;
  private final Thread thread;
  private long revision = -1;

  /** Revision up to which all changes were read; -1 before the first list. */
  private long continuousRevision = -1;

  private long generation = -1;
  private int failures;
  private boolean outage;
  private boolean changesReceived;
  private boolean isLastFull;
  private volatile boolean closed;

  /** Receives what the feed reads. Called on the feed's thread. */
  public interface Sink {
    /** Receives all objects under the prefix; replaces everything received before. */
    void replaced(Listing all);

    /**
     * Called when the store rolled back to an older copy of its data: the next list lacks writes
     * that the store acknowledged shortly before, until they are written again.
     */
    default void rolledBack() {}

    /** Receives the objects that changed since the last call; removed ones have no value. */
    void changed(Listing changes);

    /** Returns true if {@link #interrupted} or {@link #changesMissed} has to be called. */
    default boolean needsAllChanges() {
      return false;
    }

    /**
     * Called before {@link #replaced} after a failed read, with the changes since the last
     * successful one. The list has their result, but not the objects that came and went.
     */
    default void interrupted(Listing changes) {}

    /**
     * Called before {@link #replaced} instead of {@link #interrupted} if the store no longer keeps
     * the changes, or they are too many: objects may have come and gone unnoticed.
     */
    default void changesMissed() {}

    /** Called when a store outage begins: what was received becomes stale. */
    void outageStarted();

    /** Called when the store has recovered and all missed changes have been received. */
    void recovered();
  }

  /**
   * Creates a feed that is not started.
   *
   * @param waitMs how long a watch waits; a broken path is detected after about this time
   * @param delayAfterChangesMs delay between changes and the next watch, so that one call reads a
   *     burst of changes; it does not add up over answers that the store has ready
   */
  public ObjectFeed(
      ObjectApi api,
      String prefix,
      long waitMs,
      LongSupplier delayAfterChangesMs,
      RandomGenerator random,
      Ticker ticker,
      Sink sink) {
    this.api = api;
    this.prefix = prefix;
    this.waitMs = waitMs;
    this.batchDelayMs = delayAfterChangesMs;
    this.ticker = ticker;
    this.sink = sink;
    this.backoff = new Backoff(random, INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);
    this.thread = BoundedWorker.daemonThreadFactory("feed-" + prefix).newThread(this::run);
  }

  /** Starts the feed's thread. */
  public void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      pause(runOnce());
    }
  }

  /**
   * Records any other failure of a read; the next one lists again.
   *
   * @return the delay until then, in milliseconds
   */
  private long recordUnexpected(Throwable failure) {
    ThreadFailures.record(thread.getName(), failure, "lists again");
    return MAX_BACKOFF_MS;
  }

  /** Reads once and reports outages; returns the delay until the next read. Visible for tests. */
  long runOnce() {
    long startMs = ticker.millis();
    boolean isWatch = revision >= 0;
    try {
      changesReceived = false;
      isLastFull = false;
      readOnce();
      backoff.reset();
      recordSuccess();
      return batchDelay.next(
          changesReceived, isLastFull, ticker.millis() - startMs, batchDelayMs.getAsLong());
    } catch (PlatformException e) {
      batchDelay.reset();
      if (e.reason() == PlatformException.Reason.TOO_OLD) {
        log.info(
            "The store no longer keeps the changes of {} since the last read; listing all objects again.",
            prefix);
        return 0;
      }
      if (e.reason() == PlatformException.Reason.TOO_LARGE && isWatch) {
        log.info(
            "The changes of {} since the last read are too many; listing all objects again.",
            prefix);
        return 0;
      }
      recordFailure(e);
    } catch (Throwable e) {
      // An object cannot be parsed, or memory was short for a moment: the next read may succeed.
      batchDelay.reset();
      return recordUnexpected(e);
    }
    return backoff.nextMs();
  }

  /** Lists or watches once; lists again after a failure. Visible for tests. */
  void readOnce() {
    long from = revision;
    revision = -1;
    if (from < 0) {
      boolean hasGap = continuousRevision >= 0 && sink.needsAllChanges();
      boolean isContinuous = !hasGap || readMissedChanges();
      Listing all = api.list(CallClass.CONFIGURATION, prefix, "", NO_LIMIT);
      isContinuous &= !hasGap || Revision.generation(all.revision()) == generation;
      updateGeneration(Revision.generation(all.revision()));
      if (!isContinuous) {
        sink.changesMissed();
      }
      sink.replaced(all);
      revision = all.revision();
      continuousRevision = revision;
      return;
    }
    Listing changes = api.watch(CallClass.CONFIGURATION, prefix, from, waitMs);
    if (Revision.generation(changes.revision()) > Revision.generation(from)) {
      throw new PlatformException(
          PlatformException.Reason.TOO_OLD, "the store came back from an older copy");
    }
    revision = Math.max(from, changes.revision());
    changesReceived = !changes.objects().isEmpty();
    isLastFull = changes.isFull();
    if (changesReceived) {
      sink.changed(changes);
    }
    continuousRevision = revision;
  }

  /**
   * Reads the changes since the last successful read, which the list that follows does not contain
   * if they were undone; returns false if the store no longer keeps them, or they are too many.
   */
  private boolean readMissedChanges() {
    try {
      Listing missed = api.watch(CallClass.CONFIGURATION, prefix, continuousRevision, NO_WAIT_MS);
      sink.interrupted(missed);
      return true;
    } catch (PlatformException e) {
      if (e.reason() == PlatformException.Reason.TOO_OLD
          || e.reason() == PlatformException.Reason.TOO_LARGE) {
        return false;
      }
      throw e;
    }
  }

  /**
   * Detects a rollback of the store. A rollback is reported like an outage with its recovery, since
   * entries may be missing until they are written again.
   */
  private void updateGeneration(long current) {
    if (generation >= 0 && current > generation) {
      log.atWarn()
          .addKeyValue("prefix", prefix)
          .addKeyValue("generation", current)
          .log("store came back from an older copy");
      outage = true;
      sink.rolledBack();
    }
    generation = current;
  }

  private void recordSuccess() {
    failures = 0;
    if (outage) {
      outage = false;
      log.atInfo()
          .addKeyValue("prefix", prefix)
          .addKeyValue("revision", revision)
          .log("store regained");
      sink.recovered();
    }
  }

  private void recordFailure(PlatformException e) {
    failures++;
    if (!outage && !closed) {
      log.atInfo()
          .addKeyValue("prefix", prefix)
          .addKeyValue("failures", failures)
          .addKeyValue("why", e.getMessage())
          .log("store read failed, listing again");
    }
    if (!outage && !closed && failures >= OUTAGE_FAILURES) {
      outage = true;
      log.atWarn()
          .addKeyValue("prefix", prefix)
          .addKeyValue("why", e.getMessage())
          .log("store lost");
      sink.outageStarted();
    }
  }

  private void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      closed = true;
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
