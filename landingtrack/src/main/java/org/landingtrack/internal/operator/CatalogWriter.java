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
 * Writes configuration objects and their audit trails to the Object API, by conditional updates. A
 * change is accepted only once its update is known to have taken effect. If the answer to an update
 * is lost, the object is read again and searched for the change id; the update is repeated only
 * with the same expected version, so that it takes effect at most once. Thread-safe.
 */
public final class CatalogWriter {
  private static final int MAX_ATTEMPTS = 8;
  private static final long ANY_VERSION = -1;

  private final ObjectApi api;
  private final ConfigReplica replica;
  private final LongSupplier wallClock;
  private final RandomGenerator random;
  private final long visibilityTimeoutMs;

  /**
   * The outcome of a change, or of a dry run of one.
   *
   * @param version version of the object after the change; for a dry run, or if nothing changed,
   *     the current one, which is 0 if the object does not exist
   * @param revision revision of the stored object; 0 if there is none
   * @param changeId id of the change in the audit trail; empty if nothing was written
   * @param changed false if the object already had the new content
   * @param before content before the change as JSON; empty if there was none
   * @param after content after the change as JSON; empty for a delete
   */
  public record Outcome(
      long version, long revision, String changeId, boolean changed, String before, String after) {}

  /**
   * Creates a writer.
   *
   * @param wallClock milliseconds since the Unix epoch
   * @param visibilityTimeoutMs how long to wait until an accepted change is visible in {@code
   *     replica}
   */
  public CatalogWriter(
      ObjectApi api,
      ConfigReplica replica,
      LongSupplier wallClock,
      RandomGenerator random,
      long visibilityTimeoutMs) {
    this.api = api;
    this.replica = replica;
    this.wallClock = wallClock;
    this.random = random;
    this.visibilityTimeoutMs = visibilityTimeoutMs;
  }

  /**
   * Creates or updates an object.
   *
   * @param specJson new content as JSON
   * @param expectedVersion version that the object must have: 0 if it must not exist, -1 for any
   * @param dryRun if true, checks the change and writes nothing
   * @throws LandingtrackException VERSION_CONFLICT if the object has another version,
   *     PLATFORM_UNAVAILABLE if nothing was changed, OUTCOME_UNKNOWN if the change may have taken
   *     effect
   */
  public Outcome put(
      Operator operator,
      Kind kind,
      String name,
      String specJson,
      long expectedVersion,
      boolean dryRun) {
    Spec spec = Json.read(kind.label() + "/" + name, specJson, kind.specType());
    catalog().checkWrite(kind, name, spec);
    JsonNode after = parseJson(Json.write(spec));
    return applyChange(operator, kind, name, Optional.of(after), expectedVersion, dryRun);
  }

  /**
   * Deletes an object; its audit trail stays. Expected versions and errors are as for {@link #put},
   * with NOT_FOUND if the object does not exist.
   */
  public Outcome delete(Operator operator, Kind kind, String name, long expectedVersion) {
    catalog().checkDelete(kind, name);
    return applyChange(operator, kind, name, Optional.empty(), expectedVersion, false);
  }

  private Catalog catalog() {
    if (!replica.isComplete()) {
      throw new LandingtrackException(
          ErrorKind.NOT_READY, "this controller has not received the configuration yet");
    }
    return replica.catalog();
  }

  private Outcome applyChange(
      Operator operator,
      Kind kind,
      String name,
      Optional<JsonNode> after,
      long expectedVersion,
      boolean dryRun) {
    String key = StoredEntry.key(kind, name);
    Optional<StoredObject> stored = readOrFail(key);
    @Nullable StoredEntry current =
        stored.map(object -> Json.read(key, object.value(), StoredEntry.class)).orElse(null);
    @Nullable JsonNode before = current == null ? null : current.spec();
    long currentVersion = before == null || current == null ? 0 : current.version();
    checkVersion(kind, name, expectedVersion, currentVersion);
    if (after.isEmpty() && before == null) {
      throw new LandingtrackException(
          ErrorKind.NOT_FOUND, kind.label() + "/" + name + " does not exist");
    }
    boolean unchanged = before != null && before.equals(after.orElse(null));
    if (unchanged || dryRun) {
      long revision = stored.map(StoredObject::revision).orElse(0L);
      return new Outcome(
          currentVersion, revision, "", !unchanged, toJson(before), toJson(after.orElse(null)));
    }
    Change change = newChange(operator, current, before, after);
    StoredEntry base = current == null ? new StoredEntry(kind, name, 0, null, List.of()) : current;
    StoredEntry next = base.withChange(change);
    long platformVersion = stored.map(StoredObject::version).orElse(ObjectApi.ABSENT);
    StoredObject written = writeUntilConfirmed(key, next, change.changeId(), platformVersion);
    awaitVisible(written.revision());
    return new Outcome(
        change.version(),
        written.revision(),
        change.changeId(),
        true,
        toJson(before),
        toJson(after.orElse(null)));
  }

  private static String toJson(@Nullable JsonNode spec) {
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
      @Nullable StoredEntry current,
      @Nullable JsonNode before,
      Optional<JsonNode> after) {
    String action = after.isEmpty() ? "delete" : before == null ? "create" : "update";
    return new Change(
        UUID.randomUUID().toString(),
        wallClock.getAsLong(),
        operator.name(),
        operator.address(),
        action,
        current == null ? 1 : current.version() + 1,
        before,
        after.orElse(null));
  }

  private StoredObject writeUntilConfirmed(
      String key, StoredEntry next, String changeId, long expectedVersion) {
    Backoff backoff = new Backoff(random, 20, 500);
    boolean mayHaveWritten = false;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return api.write(CallClass.CONFIGURATION, key, Json.write(next), expectedVersion);
      } catch (PlatformException e) {
        if (e.reason() == PlatformException.Reason.CONFLICT) {
          return resolveConflict(key, changeId, mayHaveWritten);
        }
        mayHaveWritten |= e.reason() == PlatformException.Reason.OUTCOME_UNKNOWN;
      }
      sleep(backoff.nextMs());
    }
    if (mayHaveWritten) {
      throw new LandingtrackException(
          ErrorKind.OUTCOME_UNKNOWN,
          "the platform did not confirm change " + changeId + "; look for it in the audit trail");
    }
    throw new LandingtrackException(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the platform did not accept the change in several attempts; nothing was changed");
  }

  /**
   * Returns the stored object if the conflict comes from an earlier attempt at the same change
   * whose answer was lost; throws VERSION_CONFLICT otherwise.
   */
  private StoredObject resolveConflict(String key, String changeId, boolean mayHaveWritten) {
    Optional<StoredObject> stored =
        mayHaveWritten ? readAfterUnknownOutcome(key, changeId) : readOrFail(key);
    if (stored.isPresent()) {
      StoredEntry entry = Json.read(key, stored.get().value(), StoredEntry.class);
      if (entry.hasChange(changeId)) {
        return stored.get();
      }
      throw new LandingtrackException(
          ErrorKind.VERSION_CONFLICT,
          "another operator changed the object to version " + entry.version() + "; read it again");
    }
    throw new LandingtrackException(
        ErrorKind.VERSION_CONFLICT, "another operator changed the object; read it again");
  }

  private Optional<StoredObject> readAfterUnknownOutcome(String key, String changeId) {
    Backoff backoff = new Backoff(random, 20, 500);
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return api.read(CallClass.CONFIGURATION, key);
      } catch (PlatformException e) {
        sleep(backoff.nextMs());
      }
    }
    throw new LandingtrackException(
        ErrorKind.OUTCOME_UNKNOWN,
        "the platform did not confirm change " + changeId + "; look for it in the audit trail");
  }

  private Optional<StoredObject> readOrFail(String key) {
    try {
      return api.read(CallClass.CONFIGURATION, key);
    } catch (PlatformException e) {
      throw new LandingtrackException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the platform did not return the object; nothing was changed (" + e.getMessage() + ")");
    }
  }

  /**
   * Waits until the local replica has the revision, for a limited time, so that an operator who has
   * the answer can read the change at this controller. Other processes receive it by replication.
   */
  private void awaitVisible(long revision) {
    try {
      long end = System.nanoTime() + visibilityTimeoutMs * 1_000_000;
      while (replica.revision() < revision && System.nanoTime() < end) {
        var unused = replica.awaitDeltaAfter(revision - 1, 100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LandingtrackException(ErrorKind.STOPPING, "this controller is stopping");
    }
  }

  private static JsonNode parseJson(String json) {
    try {
      return Json.STRICT.readTree(json);
    } catch (JsonProcessingException e) {
      throw new LandingtrackException(
          ErrorKind.INTERNAL, "the content written as JSON cannot be parsed", e);
    }
  }
}
