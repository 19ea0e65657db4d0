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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Spec;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.catalog.StoredEntry.Change;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.platform.Backoff;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;

/**
 * Changes configuration objects. A change is accepted only once its conditional update is known to
 * have taken effect: a lost answer is settled by reading back and looking for the change's id, and
 * the same update is tried again only while the version it expects is still current. Thread-safe.
 */
public final class CatalogWriter {
  private static final int MAX_TRIES = 8;
  private static final long ANY_VERSION = -1;

  private final ObjectApi api;
  private final ConfigReplica replica;
  private final LongSupplier wallClock;
  private final RandomGenerator random;
  private final long visibleWithinMs;

  /**
   * The outcome of a change, or of a dry run of one.
   *
   * @param before content before it as JSON; empty if there was none
   * @param after content after it as JSON; empty for a delete
   */
  public record Outcome(
      long version, long revision, String changeId, boolean changed, String before, String after) {}

  /**
   * Creates a writer.
   *
   * @param visibleWithinMs how long an accepted change is waited for in the own replica
   */
  public CatalogWriter(
      ObjectApi api,
      ConfigReplica replica,
      LongSupplier wallClock,
      RandomGenerator random,
      long visibleWithinMs) {
    this.api = api;
    this.replica = replica;
    this.wallClock = wallClock;
    this.random = random;
    this.visibleWithinMs = visibleWithinMs;
  }

  /** Creates or updates an object. */
  public Outcome put(
      Operator operator,
      Kind kind,
      String name,
      String specJson,
      long expectedVersion,
      boolean dryRun) {
    Spec spec = Json.read(kind.label() + "/" + name, specJson, kind.specType());
    catalog().checkWrite(kind, name, spec);
    JsonNode after = tree(Json.write(spec));
    return change(operator, kind, name, Optional.of(after), expectedVersion, dryRun);
  }

  /** Deletes an object; its audit trail stays. */
  public Outcome delete(Operator operator, Kind kind, String name, long expectedVersion) {
    catalog().checkDelete(kind, name);
    return change(operator, kind, name, Optional.empty(), expectedVersion, false);
  }

  private Catalog catalog() {
    if (!replica.isComplete()) {
      throw new LandingtrackException(
          ErrorKind.NOT_READY, "this controller has no configuration yet");
    }
    return replica.catalog();
  }

  private Outcome change(
      Operator operator,
      Kind kind,
      String name,
      Optional<JsonNode> after,
      long expectedVersion,
      boolean dryRun) {
    String key = StoredEntry.key(kind, name);
    Optional<StoredObject> stored = readOrRefuse(key);
    @Nullable StoredEntry known =
        stored.map(object -> Json.read(key, object.value(), StoredEntry.class)).orElse(null);
    @Nullable JsonNode before = known == null ? null : known.spec();
    long visible = before == null || known == null ? 0 : known.version();
    checkVersion(kind, name, expectedVersion, visible);
    if (after.isEmpty() && before == null) {
      throw new LandingtrackException(
          ErrorKind.NOT_FOUND, kind.label() + "/" + name + " does not exist");
    }
    boolean same = before != null && before.equals(after.orElse(null));
    if (same || dryRun) {
      long revision = stored.map(StoredObject::revision).orElse(0L);
      return new Outcome(visible, revision, "", !same, text(before), text(after.orElse(null)));
    }
    Change change = newChange(operator, known, before, after);
    StoredEntry old = known == null ? new StoredEntry(kind, name, 0, null, List.of()) : known;
    StoredEntry next = old.withChange(change);
    long platformVersion = stored.map(StoredObject::version).orElse(ObjectApi.ABSENT);
    StoredObject written = writeSettled(key, next, change.changeId(), platformVersion);
    awaitVisible(written.revision());
    return new Outcome(
        change.version(),
        written.revision(),
        change.changeId(),
        true,
        text(before),
        text(after.orElse(null)));
  }

  private static String text(@Nullable JsonNode spec) {
    return spec == null ? "" : spec.toString();
  }

  private static void checkVersion(Kind kind, String name, long expected, long current) {
    if (expected == ANY_VERSION || expected == current) {
      return;
    }
    throw new LandingtrackException(
        ErrorKind.VERSION_CONFLICT,
        kind.label()
            + "/"
            + name
            + " has version "
            + current
            + ", not "
            + expected
            + "; read it again");
  }

  private Change newChange(
      Operator operator,
      @Nullable StoredEntry known,
      @Nullable JsonNode before,
      Optional<JsonNode> after) {
    String action = after.isEmpty() ? "delete" : before == null ? "create" : "update";
    return new Change(
        UUID.randomUUID().toString(),
        wallClock.getAsLong(),
        operator.name(),
        operator.from(),
        action,
        known == null ? 1 : known.version() + 1,
        before,
        after.orElse(null));
  }

  private StoredObject writeSettled(
      String key, StoredEntry next, String changeId, long expectedVersion) {
    Backoff backoff = new Backoff(random, 20, 500);
    boolean unsettled = false;
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      try {
        return api.write(CallClass.CONFIGURATION, key, Json.write(next), expectedVersion);
      } catch (PlatformException e) {
        if (e.reason() == PlatformException.Reason.CONFLICT) {
          return ownWriteOrConflict(key, changeId, unsettled);
        }
        unsettled |= e.reason() == PlatformException.Reason.OUTCOME_UNKNOWN;
      }
      pause(backoff.nextMs());
    }
    if (unsettled) {
      throw new LandingtrackException(
          ErrorKind.OUTCOME_UNKNOWN,
          "the platform did not confirm change " + changeId + "; look for it in the audit trail");
    }
    throw new LandingtrackException(
        ErrorKind.PLATFORM_UNAVAILABLE, "the platform takes no changes now; nothing was changed");
  }

  /** A conflict may come from our own earlier write whose answer was lost. */
  private StoredObject ownWriteOrConflict(String key, String changeId, boolean unsettled) {
    Optional<StoredObject> stored = unsettled ? readBack(key, changeId) : readOrRefuse(key);
    if (stored.isPresent()) {
      StoredEntry entry = Json.read(key, stored.get().value(), StoredEntry.class);
      if (entry.holdsChange(changeId)) {
        return stored.get();
      }
      throw new LandingtrackException(
          ErrorKind.VERSION_CONFLICT,
          "another operator changed it to version " + entry.version() + "; read it again");
    }
    throw new LandingtrackException(
        ErrorKind.VERSION_CONFLICT, "another operator changed it; read it again");
  }

  private Optional<StoredObject> readBack(String key, String changeId) {
    Backoff backoff = new Backoff(random, 20, 500);
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      try {
        return api.read(CallClass.CONFIGURATION, key);
      } catch (PlatformException e) {
        pause(backoff.nextMs());
      }
    }
    throw new LandingtrackException(
        ErrorKind.OUTCOME_UNKNOWN,
        "the platform did not confirm change " + changeId + "; look for it in the audit trail");
  }

  private Optional<StoredObject> readOrRefuse(String key) {
    try {
      return api.read(CallClass.CONFIGURATION, key);
    } catch (PlatformException e) {
      throw new LandingtrackException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the platform does not answer; nothing was changed (" + e.getMessage() + ")");
    }
  }

  /** An operator who was answered should find the change here; elsewhere it takes its way. */
  private void awaitVisible(long revision) {
    try {
      long end = System.nanoTime() + visibleWithinMs * 1_000_000;
      while (replica.revision() < revision && System.nanoTime() < end) {
        var unused = replica.awaitDeltaAfter(revision - 1, 100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LandingtrackException(ErrorKind.STOPPING, "this controller is stopping");
    }
  }

  private static JsonNode tree(String json) {
    try {
      return Json.STRICT.readTree(json);
    } catch (JsonProcessingException e) {
      throw new LandingtrackException(ErrorKind.INTERNAL, "cannot read own JSON", e);
    }
  }
}
