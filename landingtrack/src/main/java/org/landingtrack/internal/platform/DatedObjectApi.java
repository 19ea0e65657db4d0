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
import org.landingtrack.internal.base.Awake;
import org.landingtrack.internal.base.Ticker;

/**
 * An Object API that knows when changes were made at the earliest: after the last answer that lacks
 * them.
 *
 * <p>What a process reads may be old by then: its connection may have fallen silent, it may have
 * stood still while the answer lay in its socket, or it may just have started. A bound that runs
 * from a change must not run from the moment of reading it. Thread-safe.
 */
public final class DatedObjectApi implements ObjectApi {
  /** Answers of a prefix that are remembered; one for each of its changes in a bound's time. */
  private static final int MAX_ANSWERS = 64;

  /**
   * An answer is read at most so long after the store made it, unless this process stood still
   * meanwhile. A path to the store that is cut shows within 3 s, and bounds leave a margin for it.
   */
  private static final long READ_MS = 1_000;

  private final ObjectApi api;
  private final Ticker ticker;
  private final Awake awake;
  private final Map<String, Deque<Answer>> answers = new HashMap<>();

  /**
   * What an answer proves: there was no change of a prefix after a revision.
   *
   * @param atMs the earliest time at which it can have been made
   */
  private record Answer(long revision, long atMs) {}

  /**
   * Creates a dated view.
   *
   * @param awake tells whether an answer may have lain in a socket
   */
  public DatedObjectApi(ObjectApi api, Ticker ticker, Awake awake) {
    this.api = api;
    this.ticker = ticker;
    this.awake = awake;
  }

  /**
   * Returns a moment after which a change of a prefix was made, the latest that is known; empty if
   * no answer without the change is remembered.
   */
  public synchronized OptionalLong madeAfterMs(String prefix, long revision) {
    Iterator<Answer> latestFirst = answersOf(prefix).descendingIterator();
    while (latestFirst.hasNext()) {
      Answer answer = latestFirst.next();
      if (answer.revision() < revision) {
        return OptionalLong.of(answer.atMs());
      }
    }
    return OptionalLong.empty();
  }

  private Deque<Answer> answersOf(String prefix) {
    return answers.computeIfAbsent(prefix, name -> new ArrayDeque<>());
  }

  /** Returns when a kind had no change after a revision, the latest that is known; else empty. */
  public synchronized OptionalLong provenMs(String prefix, long revision) {
    Answer last = answersOf(prefix).peekLast();
    return last == null || last.revision() != revision
        ? OptionalLong.empty()
        : OptionalLong.of(last.atMs());
  }

  /** Notes that a kind had no change after a revision up to a time, as somebody else was told. */
  synchronized void note(String prefix, long revision, long atMs) {
    Deque<Answer> known = answersOf(prefix);
    @Nullable Answer last = known.peekLast();
    if (last != null && revision < last.revision()) {
      return;
    }
    long provenMs = atMs;
    if (last != null && revision == last.revision()) {
      known.removeLast();
      provenMs = Math.max(atMs, last.atMs());
    }
    known.addLast(new Answer(revision, provenMs));
    if (known.size() > MAX_ANSWERS) {
      known.removeFirst();
    }
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    long sentMs = ticker.millis();
    Listing all = api.list(callClass, prefix, after, limit);
    note(prefix, all.revision(), sentMs);
    return all;
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    long sentMs = ticker.millis();
    Listing changes = api.watch(callClass, prefix, afterRevision, waitMs);
    long madeMs = madeMs(sentMs);
    if (madeMs > sentMs) {
      // Nothing was to be told when the store got the call, or it had answered at once.
      note(prefix, afterRevision, madeMs);
    }
    note(prefix, changes.revision(), madeMs);
    return changes;
  }

  /** Returns when an answer that was just read can have been made at the earliest. */
  private long madeMs(long sentMs) {
    boolean mayHaveLain = awake.forMs() < READ_MS;
    return mayHaveLain ? sentMs : Math.max(sentMs, ticker.millis() - READ_MS);
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
