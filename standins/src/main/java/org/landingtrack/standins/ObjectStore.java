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
package org.landingtrack.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;

/** The content of the Object API: versions, revisions and a bounded log of changes. Thread-safe. */
public final class ObjectStore {
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final Deque<StoredObject> log = new ArrayDeque<>();
  private final int logSize;
  private long revision;
  private long oldestKept = 1;

  /** Creates an empty store that keeps so many changes for watches. */
  public ObjectStore(int logSize) {
    this.logSize = logSize;
  }

  public synchronized Optional<StoredObject> read(String key) {
    return Optional.ofNullable(objects.get(key));
  }

  /** Writes if the version is the expected one; 0 creates. */
  public synchronized StoredObject write(String key, String value, long expectedVersion) {
    StoredObject known = objects.get(key);
    long current = known == null ? ObjectApi.ABSENT : known.version();
    if (current != expectedVersion) {
      throw new PlatformException(
          PlatformException.Reason.CONFLICT, "version " + current + " is current", current);
    }
    if (value.length() > MAX_VALUE_BYTES) {
      throw new PlatformException(PlatformException.Reason.UNAVAILABLE, "the value is too long");
    }
    StoredObject written = new StoredObject(key, current + 1, ++revision, value);
    objects.put(key, written);
    log.addLast(written);
    if (log.size() > logSize) {
      oldestKept = log.removeFirst().revision() + 1;
    }
    notifyAll();
    return written;
  }

  public synchronized Listing list(String prefix, String after, int limit) {
    List<StoredObject> found = new ArrayList<>();
    String from = after.isEmpty() ? prefix : after;
    for (Map.Entry<String, StoredObject> entry :
        objects.tailMap(from, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix) || found.size() == limit) {
        break;
      }
      found.add(entry.getValue());
    }
    return new Listing(revision, found);
  }

  /** Waits for changes after a revision. */
  public synchronized Listing watch(String prefix, long after, long waitMs)
      throws InterruptedException {
    long end = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      if (after + 1 < oldestKept) {
        throw new PlatformException(PlatformException.Reason.TOO_OLD, "changes are gone");
      }
      List<StoredObject> changes = changesAfter(prefix, after);
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (!changes.isEmpty() || leftMs <= 0) {
        return new Listing(revision, changes);
      }
      wait(leftMs);
    }
  }

  private List<StoredObject> changesAfter(String prefix, long after) {
    List<StoredObject> changes = new ArrayList<>();
    for (StoredObject change : log) {
      if (change.revision() > after && change.key().startsWith(prefix)) {
        changes.add(change);
      }
    }
    return changes;
  }
}
