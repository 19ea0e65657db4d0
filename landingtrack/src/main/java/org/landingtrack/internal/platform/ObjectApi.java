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

import java.util.List;
import java.util.Optional;

/**
 * The platform's Object API: versions, conditional updates and watches. Calls block until the
 * answer or the call's own deadline. Implementations are thread-safe.
 *
 * <p>Every method may throw {@link PlatformException}.
 */
public interface ObjectApi {
  /** Class of a call; under pressure the lower ones wait first. */
  enum CallClass {
    LEASE(0),
    CONFIGURATION(0.1),
    CLAIM(0.2),
    STATUS(0.5);

    private final double reserve;

    CallClass(double reserve) {
      this.reserve = reserve;
    }

    /** Returns the share of the budget that calls of this class leave to the classes above. */
    double reserve() {
      return reserve;
    }
  }

  /** Expected version for a create: there must be no such object. */
  long ABSENT = 0;

  /**
   * Returns how many times the store is known to have come back from an older copy of itself. What
   * it had acknowledged shortly before is gone then; revisions rise nevertheless.
   */
  default long generation() {
    return 0;
  }

  /** Reads one object. */
  Optional<StoredObject> read(CallClass callClass, String key);

  /** Lists objects by key, {@code limit} at most, after a key. */
  Listing list(CallClass callClass, String prefix, String after, int limit);

  /**
   * Writes if the object's version is still the expected one.
   *
   * @throws PlatformException CONFLICT with the current version, or OUTCOME_UNKNOWN if the write
   *     may have taken effect
   */
  StoredObject write(CallClass callClass, String key, String value, long expectedVersion);

  /**
   * Waits for changes after a revision.
   *
   * @throws PlatformException TOO_OLD if the changes since then are no longer kept
   */
  Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs);

  /**
   * A set of objects.
   *
   * @param revision the set is complete up to this revision
   */
  record Listing(long revision, List<StoredObject> objects) {
    public Listing {
      objects = List.copyOf(objects);
    }
  }
}
