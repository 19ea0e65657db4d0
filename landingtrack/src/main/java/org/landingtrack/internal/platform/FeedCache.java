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
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.platform.ObjectApi.Listing;

/**
 * Caches the objects of each kind that this process follows, together with their latest changes, to
 * serve VMs that ask this process instead of the Object API. Holds each object once, and changes up
 * to a bounded number and size. Thread-safe.
 */
public final class FeedCache {
  /**
   * Answers with changes kept for each kind. Each holds one change of the published weights, one
   * configuration change, or one batch of server changes.
   */
  private static final int MAX_ANSWERS = 256;

  /** Most characters of the kept answers of a kind, {@link #OBJECT_CHARS} for each object added. */
  private static final long MAX_ANSWER_CHARS = 4L << 20;

  /** Most characters of the kept objects of a kind; a kind with more is not served to other VMs. */
  private static final long MAX_OBJECT_CHARS = 24L << 20;

  /** What an object takes beside its key and content, in characters. */
  private static final int OBJECT_CHARS = 160;

  private final Map<String, CachedKind> kinds = new HashMap<>();

  /**
   * How far this process has read a kind.
   *
   * @param revision all changes up to this revision are known
   * @param changedRevision revision of the last answer that contained a change
   */
  public record Position(long revision, long changedRevision) {}

  private static final class CachedKind {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Deque<Listing> answers = new ArrayDeque<>();
    private long objectChars;
    private long answerChars;
    private boolean isTooLarge;
    private long completeSince;
    private long revision;
    private long changedRevision;

    /** Fills a new kind with its first list. */
    void fill(Listing all) {
      all.objects().forEach(this::keep);
      completeSince = all.revision();
      revision = all.revision();
      changedRevision = all.revision();
    }

    /** Keeps an object in place of the one with its key; an invalid one is not kept. */
    void keep(StoredObject object) {
      boolean isKept = !object.isRemoved() && !object.isRejected() && !isTooLarge;
      StoredObject before =
          isKept ? objects.put(object.key(), object) : objects.remove(object.key());
      objectChars += (isKept ? chars(object) : 0) - (before == null ? 0 : chars(before));
      if (objectChars > MAX_OBJECT_CHARS) {
        isTooLarge = true;
        objects.clear();
        objectChars = 0;
      }
    }

    void addAnswer(Listing changes) {
      answers.addLast(changes);
      answerChars += chars(changes);
      while (answers.size() > MAX_ANSWERS || answerChars > MAX_ANSWER_CHARS) {
        Listing oldest = answers.removeFirst();
        answerChars -= chars(oldest);
        completeSince = oldest.revision();
      }
    }

    private static long chars(Listing listing) {
      long sum = 0;
      for (StoredObject object : listing.objects()) {
        sum += chars(object);
      }
      return sum;
    }

    private static long chars(StoredObject object) {
      return (long) OBJECT_CHARS + object.key().length() + object.value().length();
    }
  }

  /** Returns a sink that stores the objects of a kind in this cache before passing them on. */
  public ObjectFeed.Sink caching(String prefix, ObjectFeed.Sink sink) {
    return new ObjectFeed.Sink() {
      @Override
      public void replaced(Listing all) {
        storeList(prefix, all);
        sink.replaced(all);
      }

      @Override
      public void rolledBack() {
        sink.rolledBack();
      }

      @Override
      public boolean needsAllChanges() {
        return sink.needsAllChanges();
      }

      @Override
      public void interrupted(Listing changes) {
        sink.interrupted(changes);
      }

      @Override
      public void changesMissed() {
        sink.changesMissed();
      }

      @Override
      public void changed(Listing changes) {
        storeChanges(prefix, changes);
        sink.changed(changes);
      }

      @Override
      public void outageStarted() {
        sink.outageStarted();
      }

      @Override
      public void recovered() {
        sink.recovered();
      }
    };
  }

  /**
   * Stores a full list. If an older state of the kind is known, only the difference is stored, as
   * changes, so that VMs with the older state can continue from it.
   */
  private synchronized void storeList(String prefix, Listing all) {
    CachedKind known = kinds.get(prefix);
    if (known != null && all.revision() >= known.revision && !known.isTooLarge) {
      List<StoredObject> changes = difference(known.objects, all.objects());
      if (changes.isEmpty()) {
        known.revision = all.revision();
        known.changedRevision = all.revision();
      } else {
        storeChanges(prefix, new Listing(all.revision(), changes));
      }
      return;
    }
    CachedKind kind = new CachedKind();
    kind.fill(all);
    kinds.put(prefix, kind);
  }

  private static List<StoredObject> difference(
      Map<String, StoredObject> before, List<StoredObject> now) {
    Map<String, StoredObject> removed = new TreeMap<>(before);
    List<StoredObject> changes = new ArrayList<>();
    for (StoredObject object : now) {
      StoredObject known = removed.remove(object.key());
      if (known == null || !known.value().equals(object.value())) {
        changes.add(object);
      }
    }
    removed.values().forEach(object -> changes.add(object.removed()));
    return changes;
  }

  private synchronized void storeChanges(String prefix, Listing changes) {
    CachedKind kind = kinds.get(prefix);
    if (kind == null) {
      return;
    }
    changes.objects().forEach(kind::keep);
    kind.addAnswer(changes);
    kind.revision = changes.revision();
    kind.changedRevision = changes.revision();
  }

  /** Records that a kind that was read has no further change up to a revision. */
  synchronized void markUnchanged(String prefix, long revision) {
    CachedKind kind = kinds.get(prefix);
    if (kind != null) {
      kind.revision = Math.max(kind.revision, revision);
    }
  }

  /** Returns how far a kind was read; empty before its first list. */
  public synchronized Optional<Position> position(String prefix) {
    CachedKind kind = kinds.get(prefix);
    return kind == null
        ? Optional.empty()
        : Optional.of(new Position(kind.revision, kind.changedRevision));
  }

  /**
   * Returns all objects of a kind; empty before its first list, or if they take too much memory.
   */
  public synchronized Optional<Listing> snapshot(String prefix) {
    CachedKind kind = kinds.get(prefix);
    return kind == null || kind.isTooLarge
        ? Optional.empty()
        : Optional.of(new Listing(kind.revision, new ArrayList<>(kind.objects.values())));
  }

  /** Returns the size of all that is kept, in characters. */
  public synchronized long keptChars() {
    long sum = 0;
    for (CachedKind kind : kinds.values()) {
      sum += kind.objectChars + kind.answerChars;
    }
    return sum;
  }

  /** Returns the changes of a kind after a revision; empty if they are no longer kept. */
  public synchronized Optional<Listing> changesSince(String prefix, long revision) {
    @Nullable CachedKind kind = kinds.get(prefix);
    if (kind == null || revision < kind.completeSince) {
      return Optional.empty();
    }
    List<StoredObject> changes = new ArrayList<>();
    for (Listing answer : kind.answers) {
      if (answer.revision() > revision) {
        changes.addAll(answer.objects());
      }
    }
    return Optional.of(new Listing(Math.max(revision, kind.revision), changes));
  }
}
