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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.platform.PlatformException.Reason;

/**
 * An Object API in memory that can simulate outages and failed writes. Watches return at once.
 * Thread-safe.
 */
public final class FakeObjectApi implements ObjectApi {
  /** Failure of a write. */
  public enum Fault {
    /** The write has no effect, and the caller is told so. */
    REJECTED,
    /** The write takes effect, but its outcome is unknown to the caller. */
    LOST_ANSWER,
    /** The write has no effect, but its outcome is unknown to the caller. */
    LOST_CALL
  }

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private final Deque<Fault> writeFaults = new ArrayDeque<>();
  private final AtomicInteger writes = new AtomicInteger();
  private long revision;
  private volatile boolean outage;
  private long keptSince;
  private @Nullable Reason watchFailure;

  /** Makes the next writes fail, in order. */
  public synchronized FakeObjectApi failWrites(Fault... faults) {
    writeFaults.addAll(List.of(faults));
    return this;
  }

  /** Drops the history of changes so far. */
  public synchronized void forgetChanges() {
    keptSince = revision;
  }

  /** Makes all watches fail. */
  public synchronized void failWatches(Reason reason) {
    watchFailure = reason;
  }

  /** Starts or ends an outage, in which every call fails. */
  public void outage(boolean isOut) {
    outage = isOut;
  }

  /** Returns the number of writes that took effect. */
  public int writes() {
    return writes.get();
  }

  @Override
  public synchronized Optional<StoredObject> read(CallClass callClass, String key) {
    checkAvailable();
    return Optional.ofNullable(objects.get(key));
  }

  @Override
  public synchronized Listing list(CallClass callClass, String prefix, String after, int limit) {
    checkAvailable();
    List<StoredObject> found = new ArrayList<>();
    for (Map.Entry<String, StoredObject> entry : objects.entrySet()) {
      boolean matches = entry.getKey().startsWith(prefix) && entry.getKey().compareTo(after) > 0;
      if (matches && found.size() < limit) {
        found.add(entry.getValue());
      }
    }
    return new Listing(revision, found);
  }

  @Override
  public synchronized StoredObject write(
      CallClass callClass, String key, String value, long expectedVersion) {
    checkAvailable();
    Fault fault = writeFaults.poll();
    if (fault == Fault.REJECTED) {
      throw new PlatformException(Reason.UNAVAILABLE, "out");
    }
    if (fault == Fault.LOST_CALL) {
      throw new PlatformException(Reason.OUTCOME_UNKNOWN, "simulated loss of the answer");
    }
    StoredObject known = objects.get(key);
    long current = known == null ? ABSENT : known.version();
    if (current != expectedVersion) {
      throw new PlatformException(Reason.CONFLICT, "conflict", current);
    }
    StoredObject written = new StoredObject(key, current + 1, ++revision, value);
    objects.put(key, written);
    writes.incrementAndGet();
    if (fault == Fault.LOST_ANSWER) {
      throw new PlatformException(Reason.OUTCOME_UNKNOWN, "simulated loss of the answer");
    }
    return written;
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    Reason failure = watchFailure;
    if (failure != null) {
      throw new PlatformException(failure, "simulated");
    }
    Listing all = list(callClass, prefix, "", Integer.MAX_VALUE);
    if (afterRevision < keptSince) {
      throw new PlatformException(Reason.TOO_OLD, "the history was dropped");
    }
    List<StoredObject> changed = new ArrayList<>();
    for (StoredObject object : all.objects()) {
      if (object.revision() > afterRevision) {
        changed.add(object);
      }
    }
    return new Listing(all.revision(), changed);
  }

  private void checkAvailable() {
    if (outage) {
      throw new PlatformException(Reason.UNAVAILABLE, "out");
    }
  }
}
