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
package org.landingtrack.internal.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Spec;
import org.landingtrack.internal.catalog.StoredEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replica of the accepted configuration in this process.
 *
 * <p>An entry is only replaced by one with a higher revision, and the revision of the replica never
 * decreases. Merging is commutative and idempotent, so delayed, repeated or reordered deltas from
 * any peer cannot revert the configuration. Thread-safe.
 */
public final class ConfigReplica {
  private static final Logger log = LoggerFactory.getLogger("config");

  private final Map<String, ConfigEntry> entries = new HashMap<>();
  private final TreeMap<Long, String> keyByRevision = new TreeMap<>();
  private volatile Catalog catalog = Catalog.EMPTY;
  private volatile boolean complete;

  /** Returns the configuration in force in this process. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns the revision up to which this replica is complete. */
  public long revision() {
    return catalog.revision();
  }

  /** Returns true once a whole configuration has been received. */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Merges a delta. A delta that starts after this replica's revision is ignored, since the changes
   * in between would be missing.
   *
   * @param afterRevision the revision after which the delta starts
   * @return true if anything changed
   */
  public synchronized boolean merge(long afterRevision, ConfigDelta delta) {
    if (afterRevision > revision()) {
      return false;
    }
    List<Catalog.Update> updates = new ArrayList<>();
    for (ConfigEntry entry : delta.entries()) {
      if (accept(entry)) {
        decode(entry).ifPresent(updates::add);
      }
    }
    boolean first = !complete;
    complete = true;
    if (updates.isEmpty() && delta.revision() <= revision()) {
      notifyAll();
      return first;
    }
    catalog = catalog.with(Math.max(revision(), delta.revision()), updates);
    notifyAll();
    return true;
  }

  private boolean accept(ConfigEntry entry) {
    ConfigEntry known = entries.get(entry.key());
    if (known != null && known.revision() >= entry.revision()) {
      return false;
    }
    if (known != null) {
      keyByRevision.remove(known.revision());
    }
    entries.put(entry.key(), entry);
    keyByRevision.put(entry.revision(), entry.key());
    return true;
  }

  private static Optional<Catalog.Update> decode(ConfigEntry entry) {
    try {
      StoredEntry stored = Json.read(entry.key(), entry.value(), StoredEntry.class);
      return Optional.of(
          new Catalog.Update(stored.kind(), stored.name(), decodeSpec(stored.kind(), stored)));
    } catch (LandingtrackException e) {
      // A newer release may write entries that this one cannot read; the old content stays in
      // force.
      log.warn(
          "Entry {} cannot be read; its previous content stays in force: {}.",
          entry.key(),
          e.getMessage());
      return Optional.empty();
    }
  }

  private static Optional<Spec> decodeSpec(Kind kind, StoredEntry stored) {
    JsonNode spec = stored.spec();
    if (spec == null) {
      return Optional.empty();
    }
    return Optional.of(Json.read(stored.name(), spec.toString(), kind.specType()));
  }

  /** Returns the entries that changed after a revision. */
  public synchronized ConfigDelta deltaAfter(long afterRevision) {
    List<ConfigEntry> changed = new ArrayList<>();
    for (String key : keyByRevision.tailMap(afterRevision, false).values()) {
      ConfigEntry entry = entries.get(key);
      if (entry != null) {
        changed.add(entry);
      }
    }
    return new ConfigDelta(revision(), changed);
  }

  /**
   * Waits until this replica is complete and newer than a revision, or {@code waitMs} are over, and
   * returns the entries that changed after that revision.
   */
  public synchronized ConfigDelta awaitDeltaAfter(long afterRevision, long waitMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMs * 1_000_000;
    while (revision() <= afterRevision || !complete) {
      long remainingMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        break;
      }
      wait(remainingMs);
    }
    return deltaAfter(afterRevision);
  }

  /** Finds the entry of an object; deleted objects have an entry, too. */
  public synchronized Optional<ConfigEntry> entry(Kind kind, String name) {
    return Optional.ofNullable(entries.get(StoredEntry.key(kind, name)));
  }

  /** Returns all entries, including those of deleted objects. */
  public synchronized List<ConfigEntry> entries() {
    return List.copyOf(entries.values());
  }
}
