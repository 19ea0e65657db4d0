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
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows all objects under a prefix: lists them once, then watches. After any error it lists
 * again, since a watch that broke may wait on without hearing of changes that the store has
 * dropped. One thread each.
 */
public final class ObjectFeed implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("store");

  /** First and longest pause after errors; short, since bounds run while the store is away. */
  private static final long FIRST_PAUSE_MS = 50;

  private static final long MAX_PAUSE_MS = 400;
  private static final int ALL = Integer.MAX_VALUE;

  /**
   * Failures in a row that are trouble of the store; one is also the end of a connection that was
   * cut or silent while the store was sound. Told as its return, that let servers which had left
   * get requests for up to 7.5 s, where 2 s are allowed.
   */
  private static final int FAILURES_OF_TROUBLE = 2;

  private final ObjectApi api;
  private final String prefix;
  private final long waitMs;
  private final LongSupplier gatherMs;
  private final Sink sink;
  private final Backoff backoff;
  private final Thread thread;
  private long revision = -1;
  private long generation = -1;
  private int failures;
  private boolean lost;
  private boolean moreMayFollow;
  private volatile boolean closed;

  /** Hears of what the feed reads, on the feed's thread. */
  public interface Sink {
    /** All objects under the prefix as they are now. */
    void replaced(Listing all);

    /**
     * The store came back from an older copy of itself: what is read next lacks what it had
     * acknowledged shortly before, until that is written again.
     */
    default void rewound() {}

    /** Objects that changed since; removed ones have no value. */
    void changed(Listing changes);

    /** The store does not answer; what is known gets old. */
    void lost();

    /** The store answers again; what was missed has been read. */
    void regained();
  }

  /**
   * Creates a feed.
   *
   * @param waitMs how long a watch waits; a broken path is noticed after about so long
   * @param gatherMs between changes and the next watch, so that one call reads what comes at once
   */
  public ObjectFeed(
      ObjectApi api,
      String prefix,
      long waitMs,
      LongSupplier gatherMs,
      RandomGenerator random,
      Sink sink) {
    this.api = api;
    this.prefix = prefix;
    this.waitMs = waitMs;
    this.gatherMs = gatherMs;
    this.sink = sink;
    this.backoff = new Backoff(random, FIRST_PAUSE_MS, MAX_PAUSE_MS);
    this.thread = Duty.daemon("feed-" + prefix).newThread(this::run);
  }

  /** Starts following. */
  public void start() {
    thread.start();
  }

  private void run() {
    while (!closed) {
      pause(attempt());
    }
  }

  /** Reads once and tells of trouble; returns how long to pause then. Visible for tests. */
  long attempt() {
    try {
      moreMayFollow = false;
      step();
      backoff.reset();
      noteAnswer();
      return moreMayFollow ? gatherMs.getAsLong() : 0;
    } catch (PlatformException e) {
      if (e.reason() == PlatformException.Reason.TOO_OLD) {
        log.info("The store's history of {} is gone; reads all.", prefix);
        return 0;
      }
      noteSilence(e);
    } catch (RuntimeException e) {
      // What the store holds can't be read; the next version of it may be readable.
      log.error("The feed of {} failed and goes on: {}.", prefix, e.toString());
    }
    return backoff.nextMs();
  }

  /** Reads once; after a failure all is read again. Visible for tests. */
  void step() {
    long from = revision;
    revision = -1;
    if (from < 0) {
      Listing all = api.list(CallClass.CONFIGURATION, prefix, "", ALL);
      revision = all.revision();
      noteGeneration(Revision.generation(revision));
      sink.replaced(all);
      return;
    }
    Listing changes = api.watch(CallClass.CONFIGURATION, prefix, from, waitMs);
    if (Revision.generation(changes.revision()) > Revision.generation(from)) {
      throw new PlatformException(
          PlatformException.Reason.TOO_OLD, "the store came back from an older copy");
    }
    revision = Math.max(from, changes.revision());
    moreMayFollow = !changes.objects().isEmpty();
    if (moreMayFollow) {
      sink.changed(changes);
    }
  }

  /** Its return counts as the end of trouble: entries may be missing until they are rewritten. */
  private void noteGeneration(long read) {
    if (generation >= 0 && read > generation) {
      log.atWarn()
          .addKeyValue("prefix", prefix)
          .addKeyValue("generation", read)
          .log("store came back from an older copy");
      lost = true;
      sink.rewound();
    }
    generation = read;
  }

  private void noteAnswer() {
    failures = 0;
    if (lost) {
      lost = false;
      log.atInfo()
          .addKeyValue("prefix", prefix)
          .addKeyValue("revision", revision)
          .log("store regained");
      sink.regained();
    }
  }

  private void noteSilence(PlatformException e) {
    failures++;
    if (!lost && !closed && failures >= FAILURES_OF_TROUBLE) {
      lost = true;
      log.atWarn()
          .addKeyValue("prefix", prefix)
          .addKeyValue("why", e.getMessage())
          .log("store lost");
      sink.lost();
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
