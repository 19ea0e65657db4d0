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

/**
 * In-memory store of the Object API stand-in. An object's version counts its writes; the store's
 * revision counts all writes. A bounded log of changes serves watches. Thread-safe.
 */
public final class ObjectStore {
  private static final int MAX_VALUE_LENGTH = 1 << 20;

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final Deque<StoredObject> changeLog = new ArrayDeque<>();
  private final int logSize;
  private long revision;
  private long oldestRevision = 1;

  /** Creates an empty store that keeps the latest {@code logSize} changes for watches. */
  public ObjectStore(int logSize) {
    this.logSize = logSize;
  }

  public synchronized Optional<StoredObject> read(String key) {
    return Optional.ofNullable(objects.get(key));
  }

  /**
   * Writes an object if its current version is the expected one; {@link ObjectApi#ABSENT} creates
   * it.
   *
   * @throws PlatformException CONFLICT with the current version, or UNAVAILABLE if the value is too
   *     long
   */
  public synchronized StoredObject write(String key, String value, long expectedVersion) {
    StoredObject existing = objects.get(key);
    long current = existing == null ? ObjectApi.ABSENT : existing.version();
    if (current != expectedVersion) {
      throw new PlatformException(
          PlatformException.Reason.CONFLICT,
          "version conflict: version " + current + " is current",
          current);
    }
    if (value.length() > MAX_VALUE_LENGTH) {
      throw new PlatformException(
          PlatformException.Reason.UNAVAILABLE, "the value is longer than 1,048,576 characters");
    }
    StoredObject written = new StoredObject(key, current + 1, ++revision, value);
    objects.put(key, written);
    changeLog.addLast(written);
    if (changeLog.size() > logSize) {
      oldestRevision = changeLog.removeFirst().revision() + 1;
    }
    notifyAll();
    return written;
  }

  /** Returns the objects with a prefix by key, {@code limit} at most, after a key. */
  public synchronized Listing list(String prefix, String after, int limit) {
    List<StoredObject> found = new ArrayList<>();
    String startKey = after.isEmpty() ? prefix : after;
    for (Map.Entry<String, StoredObject> entry :
        objects.tailMap(startKey, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix) || found.size() == limit) {
        break;
      }
      found.add(entry.getValue());
    }
    return new Listing(revision, found);
  }

  /**
   * Returns the changes of objects with a prefix after a revision; waits for some if there are
   * none.
   *
   * @throws PlatformException TOO_OLD if changes after that revision are no longer in the log
   */
  public synchronized Listing watch(String prefix, long after, long waitMs)
      throws InterruptedException {
    long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
    while (true) {
      if (after + 1 < oldestRevision) {
        throw new PlatformException(
            PlatformException.Reason.TOO_OLD,
            "changes after this revision are no longer in the log");
      }
      List<StoredObject> changes = changesAfter(prefix, after);
      long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
      if (!changes.isEmpty() || remainingMs <= 0) {
        return new Listing(revision, changes);
      }
      wait(remainingMs);
    }
  }

  private List<StoredObject> changesAfter(String prefix, long after) {
    List<StoredObject> changes = new ArrayList<>();
    for (StoredObject change : changeLog) {
      if (change.revision() > after && change.key().startsWith(prefix)) {
        changes.add(change);
      }
    }
    return changes;
  }
}
