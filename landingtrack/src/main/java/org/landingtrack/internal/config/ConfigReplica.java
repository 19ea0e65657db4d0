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
 * This process's copy of the accepted configuration.
 *
 * <p>An entry is only ever replaced by one with a higher revision, and the revision of the whole
 * never falls: merging is commutative and idempotent, so late, repeated or crossed deltas from any
 * peer cannot make the configuration revert. Thread-safe.
 */
public final class ConfigReplica {
  private static final Logger log = LoggerFactory.getLogger("config");

  private final Map<String, ConfigEntry> entries = new HashMap<>();
  private final TreeMap<Long, String> keyByRevision = new TreeMap<>();
  private volatile Catalog catalog = Catalog.EMPTY;
  private volatile boolean complete;

  /** Returns the configuration in force here. */
  public Catalog catalog() {
    return catalog;
  }

  /** Returns the revision up to which this copy is complete. */
  public long revision() {
    return catalog.revision();
  }

  /** Returns true once a whole configuration has been received. */
  public boolean isComplete() {
    return complete;
  }

  /**
   * Merges a delta that starts at or before this copy's revision.
   *
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
      // A newer release may write what this one cannot read; the old content stays in force.
      log.warn("Entry {} cannot be read: {}.", entry.key(), e.getMessage());
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

  /** Returns what changed after a revision. */
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

  /** Waits until this copy is newer than a revision, or the time is over. */
  public synchronized ConfigDelta awaitDeltaAfter(long afterRevision, long waitMs)
      throws InterruptedException {
    long end = System.nanoTime() + waitMs * 1_000_000;
    while (revision() <= afterRevision || !complete) {
      long leftMs = (end - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    return deltaAfter(afterRevision);
  }

  /** Finds the entry of an object, deleted ones included. */
  public synchronized Optional<ConfigEntry> entry(Kind kind, String name) {
    return Optional.ofNullable(entries.get(StoredEntry.key(kind, name)));
  }

  /** Returns all entries, deleted ones included. */
  public synchronized List<ConfigEntry> entries() {
    return List.copyOf(entries.values());
  }
}
