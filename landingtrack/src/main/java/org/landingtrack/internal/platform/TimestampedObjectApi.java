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

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.StallDetector;
import org.landingtrack.internal.base.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wraps an Object API and records the earliest possible time of each change: a change was made
 * after the last answer that does not contain it.
 *
 * <p>What a process reads may already be old: its connection may have gone silent, the process may
 * have been suspended while the answer waited in its socket, or it may just have started. A time
 * limit that starts with a change must therefore not be measured from the time at which the change
 * is read. Thread-safe.
 */
public final class TimestampedObjectApi implements ObjectApi {
  /**
   * Answers kept for each prefix: enough for one answer per change within the time limits that are
   * measured from changes.
   */
  private static final int MAX_ANSWERS = 64;

  /**
   * Maximum time from the store making an answer to this process reading it, unless the process was
   * suspended in between. A cut path to the store is detected within 3 s, and the time limits leave
   * a margin for that.
   */
  public static final long MAX_READ_DELAY_MS = 1_000;

  private static final Logger log = LoggerFactory.getLogger("store");

  private final ObjectApi api;
  private final Ticker ticker;
  private final StallDetector awake;
  private final Map<String, Deque<Answer>> answers = new HashMap<>();

  /**
   * An answer of the store: at its time, a prefix had no change after a revision.
   *
   * @param earliestMs the earliest time at which the store can have made the answer
   */
  private record Answer(long revision, long earliestMs) {}

  /**
   * Creates a wrapper without any answers.
   *
   * @param awake detects suspensions of this process, during which answers wait in sockets
   */
  public TimestampedObjectApi(ObjectApi api, Ticker ticker, StallDetector awake) {
    this.api = api;
    this.ticker = ticker;
    this.awake = awake;
  }

  /**
   * Returns the latest known time before which a change of a prefix cannot have been made; empty if
   * no answer without the change is kept.
   */
  public synchronized OptionalLong earliestChangeMs(String prefix, long revision) {
    Iterator<Answer> latestFirst = answersOf(prefix).descendingIterator();
    while (latestFirst.hasNext()) {
      Answer answer = latestFirst.next();
      if (answer.revision() < revision) {
        return OptionalLong.of(answer.earliestMs());
      }
    }
    return OptionalLong.empty();
  }

  private Deque<Answer> answersOf(String prefix) {
    return answers.computeIfAbsent(prefix, name -> new ArrayDeque<>());
  }

  /**
   * Returns the latest time at which a prefix is known to have had no change after a revision;
   * empty unless the last answer was for this revision.
   */
  public synchronized OptionalLong unchangedUntilMs(String prefix, long revision) {
    Answer last = answersOf(prefix).peekLast();
    return last == null || last.revision() != revision
        ? OptionalLong.empty()
        : OptionalLong.of(last.earliestMs());
  }

  /**
   * Records that a prefix had no change after a revision up to a time; also called with what a hub
   * reports.
   */
  synchronized void recordUnchanged(String prefix, long revision, long atMs) {
    Deque<Answer> known = answersOf(prefix);
    @Nullable Answer last = known.peekLast();
    if (last != null && revision < last.revision()) {
      return;
    }
    long unchangedMs = atMs;
    if (last != null && revision == last.revision()) {
      known.removeLast();
      unchangedMs = Math.max(atMs, last.earliestMs());
    }
    known.addLast(new Answer(revision, unchangedMs));
    if (known.size() > MAX_ANSWERS) {
      known.removeFirst();
    }
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    long sentMs = ticker.millis();
    Listing all = api.list(callClass, prefix, after, limit);
    recordUnchanged(prefix, all.revision(), sentMs);
    return all;
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long sentMs = ticker.millis();
    Listing changes = api.watch(callClass, prefix, afterRevision, waitMs);
    long minAnswerMs = earliestAnswerMs(sentMs);
    long tookMs = ticker.millis() - sentMs;
    boolean reportedAtEnd = !changes.objects().isEmpty() && tookMs >= waitMs;
    if (reportedAtEnd) {
      // A store that dropped its history may not wake a watch for a change.
      log.atInfo()
          .addKeyValue("prefix", prefix)
          .addKeyValue("revision", changes.revision())
          .addKeyValue("tookMs", tookMs)
          .log("store reported a change only at the end of a watch");
    } else if (minAnswerMs > sentMs) {
      // The store had no change when it received the call; otherwise it would have answered at
      // once.
      recordUnchanged(prefix, afterRevision, minAnswerMs);
    }
    recordUnchanged(prefix, changes.revision(), minAnswerMs);
    return changes;
  }

  /** Returns the earliest time at which the store can have made an answer that was just read. */
  private long earliestAnswerMs(long sentMs) {
    boolean mayBeDelayed = awake.runningForMs() < MAX_READ_DELAY_MS;
    return mayBeDelayed ? sentMs : Math.max(sentMs, ticker.millis() - MAX_READ_DELAY_MS);
  }

  @Override
  public Optional<StoredObject> read(CallClass callClass, String key) {
    return api.read(callClass, key);
  }

  @Override
  public StoredObject write(CallClass callClass, String key, String value, long expectedVersion) {
    return api.write(callClass, key, value, expectedVersion);
  }
}
