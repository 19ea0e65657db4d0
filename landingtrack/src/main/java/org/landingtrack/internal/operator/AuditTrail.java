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
package org.landingtrack.internal.operator;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.catalog.StoredEntry.Change;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;

/**
 * Reads the audit trail of configuration objects: who changed what, and when. The Object API stores
 * the complete trail of an object and is read on request; the {@link ConfigReplica} has only the
 * last change of each object. Thread-safe.
 */
final class AuditTrail {
  private final ObjectApi api;
  private final ConfigReplica replica;

  AuditTrail(ObjectApi api, ConfigReplica replica) {
    this.api = api;
    this.replica = replica;
  }

  /** A change and the object that it changed. */
  record Entry(Kind kind, String name, Change change) {
    String subject() {
      return kind.label() + "/" + name;
    }
  }

  /**
   * A list of changes, newest first.
   *
   * @param complete false if only the last change of each object was available
   */
  record Page(List<Entry> entries, boolean complete) {}

  /**
   * Returns the latest changes of one object, {@code limit} at most. Falls back to the last change,
   * from the replica, if the object cannot be read from the Object API.
   */
  Page changesOf(Kind kind, String name, int limit) {
    Optional<StoredEntry> stored = readFromPlatform(kind, name);
    if (stored.isPresent()) {
      return new Page(newestFirst(entries(stored.get()), limit), true);
    }
    List<Entry> replicated = new ArrayList<>();
    replica.entry(kind, name).ifPresent(entry -> replicated.addAll(entries(decode(entry))));
    return new Page(replicated, false);
  }

  /** Returns the last change of each object of a kind, or of all kinds; {@code limit} at most. */
  Page lastChanges(Optional<Kind> kind, int limit) {
    List<Entry> found = new ArrayList<>();
    for (ConfigEntry entry : replica.entries()) {
      StoredEntry stored = decode(entry);
      if (kind.isEmpty() || kind.get() == stored.kind()) {
        found.addAll(entries(stored));
      }
    }
    return new Page(newestFirst(found, limit), false);
  }

  /** Describes an object and its changes in sentences; returns none if it never existed. */
  List<String> explain(Kind kind, String name) {
    Optional<ConfigEntry> entry = replica.entry(kind, name);
    if (entry.isEmpty()) {
      return List.of();
    }
    StoredEntry stored = decode(entry.get());
    String subject = kind.label() + "/" + name;
    List<String> sentences = new ArrayList<>();
    sentences.add(
        stored.spec() == null
            ? subject + " was deleted."
            : subject + " is at version " + stored.version() + ": " + stored.spec() + ".");
    Page page = changesOf(kind, name, StoredEntry.MAX_AUDIT_CHANGES);
    for (int i = page.entries().size() - 1; i >= 0; i--) {
      sentences.add(sentence(page.entries().get(i).change()));
    }
    if (!page.complete()) {
      sentences.add(
          "The platform did not return the audit trail; earlier changes are not known here.");
    }
    return sentences;
  }

  private static String sentence(Change change) {
    return change.operator()
        + " changed it to version "
        + change.version()
        + " by "
        + change.action()
        + " at "
        + Instant.ofEpochMilli(change.atMs())
        + ".";
  }

  private Optional<StoredEntry> readFromPlatform(Kind kind, String name) {
    String key = StoredEntry.key(kind, name);
    try {
      Optional<StoredObject> stored = api.read(CallClass.STATUS, key);
      return stored.map(object -> Json.read(key, object.value(), StoredEntry.class));
    } catch (PlatformException e) {
      return Optional.empty();
    }
  }

  private static StoredEntry decode(ConfigEntry entry) {
    return Json.read(entry.key(), entry.value(), StoredEntry.class);
  }

  private static List<Entry> entries(StoredEntry stored) {
    List<Entry> entries = new ArrayList<>();
    for (Change change : stored.audit()) {
      entries.add(new Entry(stored.kind(), stored.name(), change));
    }
    return entries;
  }

  private static List<Entry> newestFirst(List<Entry> entries, int limit) {
    // The version orders changes of an object that have the same time in milliseconds.
    entries.sort(
        Comparator.comparingLong((Entry entry) -> entry.change().atMs())
            .thenComparingLong(entry -> entry.change().version())
            .reversed());
    return entries.subList(0, Math.min(limit, entries.size()));
  }
}
