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
 * serve VMs that ask this process instead of the Object API. Holds each object once and a bounded
 * number of changes. Thread-safe.
 */
public final class FeedCache {
  /**
   * Answers with changes kept for each kind. Each holds one change of the published weights, one
   * configuration change, or one batch of server changes.
   */
  private static final int MAX_ANSWERS = 256;

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
    private long completeSince;
    private long revision;
    private long changedRevision;
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
    if (known != null && all.revision() >= known.revision) {
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
    all.objects().forEach(object -> kind.objects.put(object.key(), object));
    kind.completeSince = all.revision();
    kind.revision = all.revision();
    kind.changedRevision = all.revision();
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
    for (StoredObject object : changes.objects()) {
      if (object.isRemoved()) {
        kind.objects.remove(object.key());
      } else {
        kind.objects.put(object.key(), object);
      }
    }
    kind.answers.addLast(changes);
    if (kind.answers.size() > MAX_ANSWERS) {
      kind.completeSince = kind.answers.removeFirst().revision();
    }
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

  /** Returns all objects of a kind; empty before its first list. */
  public synchronized Optional<Listing> snapshot(String prefix) {
    CachedKind kind = kinds.get(prefix);
    return kind == null
        ? Optional.empty()
        : Optional.of(new Listing(kind.revision, new ArrayList<>(kind.objects.values())));
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
