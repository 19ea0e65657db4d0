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
 * What this process read last of each kind of objects that it follows, with the latest changes, for
 * VMs that ask it instead of the Object API. Costs the memory of the objects once, and of a bounded
 * number of changes. Thread-safe.
 */
public final class FeedCache {
  /** Answers with changes that are kept; each is one naming, configuration, or round of servers. */
  private static final int MAX_ANSWERS = 256;

  private final Map<String, Followed> kinds = new HashMap<>();

  /**
   * How far this process has read.
   *
   * @param revision all changes up to this one are known
   * @param changedRevision the answer with the last change had this revision
   */
  public record Position(long revision, long changedRevision) {}

  private static final class Followed {
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Deque<Listing> answers = new ArrayDeque<>();
    private long completeSince;
    private long revision;
    private long changedRevision;
  }

  /** Returns a sink that keeps what it hears and passes it on. */
  public ObjectFeed.Sink keeping(String prefix, ObjectFeed.Sink sink) {
    return new ObjectFeed.Sink() {
      @Override
      public void replaced(Listing all) {
        replace(prefix, all);
        sink.replaced(all);
      }

      @Override
      public void rewound() {
        sink.rewound();
      }

      @Override
      public void changed(Listing changes) {
        change(prefix, changes);
        sink.changed(changes);
      }

      @Override
      public void lost() {
        sink.lost();
      }

      @Override
      public void regained() {
        sink.regained();
      }
    };
  }

  /** A list that follows others is kept as the changes since, for those that have the others. */
  private synchronized void replace(String prefix, Listing all) {
    Followed known = kinds.get(prefix);
    if (known != null && all.revision() >= known.revision) {
      List<StoredObject> changes = changes(known.objects, all.objects());
      if (changes.isEmpty()) {
        known.revision = all.revision();
      } else {
        change(prefix, new Listing(all.revision(), changes));
      }
      return;
    }
    Followed kind = new Followed();
    all.objects().forEach(object -> kind.objects.put(object.key(), object));
    kind.completeSince = all.revision();
    kind.revision = all.revision();
    kind.changedRevision = all.revision();
    kinds.put(prefix, kind);
  }

  private static List<StoredObject> changes(
      Map<String, StoredObject> before, List<StoredObject> now) {
    Map<String, StoredObject> gone = new TreeMap<>(before);
    List<StoredObject> changes = new ArrayList<>();
    for (StoredObject object : now) {
      StoredObject known = gone.remove(object.key());
      if (known == null || !known.value().equals(object.value())) {
        changes.add(object);
      }
    }
    gone.values().forEach(object -> changes.add(object.removed()));
    return changes;
  }

  private synchronized void change(String prefix, Listing changes) {
    Followed kind = kinds.get(prefix);
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

  /** Notes that a kind that was read has no change up to a revision. */
  synchronized void unchangedTo(String prefix, long revision) {
    Followed kind = kinds.get(prefix);
    if (kind != null) {
      kind.revision = Math.max(kind.revision, revision);
    }
  }

  /** Returns how far a kind was read; empty before it was. */
  public synchronized Optional<Position> position(String prefix) {
    Followed kind = kinds.get(prefix);
    return kind == null
        ? Optional.empty()
        : Optional.of(new Position(kind.revision, kind.changedRevision));
  }

  /** Returns all objects of a kind; empty before they were read. */
  public synchronized Optional<Listing> all(String prefix) {
    Followed kind = kinds.get(prefix);
    return kind == null
        ? Optional.empty()
        : Optional.of(new Listing(kind.revision, new ArrayList<>(kind.objects.values())));
  }

  /** Returns the changes of a kind after a revision; empty where they are not kept any more. */
  public synchronized Optional<Listing> since(String prefix, long revision) {
    @Nullable Followed kind = kinds.get(prefix);
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
