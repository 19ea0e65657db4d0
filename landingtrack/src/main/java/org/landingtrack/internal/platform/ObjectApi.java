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
 * The platform's Object API: a key-value store with versions, conditional updates and watches.
 * Calls block until the answer arrives or the call's own deadline is over. Implementations are
 * thread-safe.
 *
 * <p>Every method may throw {@link PlatformException}.
 */
public interface ObjectApi {
  /** Priority class of a call; when the call budget runs short, the lower classes wait first. */
  enum CallClass {
    LEASE(0),
    CONFIGURATION(0.1),
    CLAIM(0.2),
    STATUS(0.5);

    private final double reserve;

    CallClass(double reserve) {
      this.reserve = reserve;
    }

    /** Returns the share of the call budget that this class leaves to higher classes, 0 to 1. */
    double reserve() {
      return reserve;
    }
  }

  /** Expected version of a write that creates an object: the object must not exist. */
  long ABSENT = 0;

  /**
   * Returns how many times the store is known to have rolled back, that is, come back with an older
   * copy of its data. Writes that it acknowledged shortly before are lost then; revisions still
   * increase.
   */
  default long generation() {
    return 0;
  }

  /** Reads one object; empty if it does not exist. */
  Optional<StoredObject> read(CallClass callClass, String key);

  /**
   * Lists the objects whose keys start with a prefix, in the order of their keys.
   *
   * @param after only keys after this one are listed; empty to start with the first
   * @param limit the largest number of objects to return
   */
  Listing list(CallClass callClass, String prefix, String after, int limit);

  /**
   * Writes an object if its current version is the expected one.
   *
   * @throws PlatformException CONFLICT with the current version, or OUTCOME_UNKNOWN if the write
   *     may have taken effect
   */
  StoredObject write(CallClass callClass, String key, String value, long expectedVersion);

  /**
   * Waits for changes of objects under a prefix after a revision, at most {@code waitMs}. Returns
   * no objects if there was no change.
   *
   * @throws PlatformException TOO_OLD if the changes after the revision are no longer kept
   */
  Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs);

  /**
   * Objects of a list or a watch.
   *
   * @param revision all changes up to this revision are included
   * @param isFull whether the answer is so large that the platform may have ended it early, so that
   *     further changes are waiting
   */
  record Listing(long revision, List<StoredObject> objects, boolean isFull) {
    public Listing {
      objects = List.copyOf(objects);
    }

    /** Creates objects of an answer that has all there were. */
    public Listing(long revision, List<StoredObject> objects) {
      this(revision, objects, false);
    }
  }
}
