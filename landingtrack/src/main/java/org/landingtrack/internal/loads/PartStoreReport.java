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
package org.landingtrack.internal.loads;

import java.util.List;

/**
 * Answer of a part store, forwarded by a VM that polled the store.
 *
 * @param address address of the store
 * @param epoch identifies the store's incarnation
 * @param serverClockMs when the store answered, on the clock that all backend servers share
 * @param from number of the change after which this report begins
 * @param next number of the store's last change
 * @param changes changes after {@code from} up to {@code next}; some may be missing
 */
public record PartStoreReport(
    String address, long epoch, long serverClockMs, long from, long next, List<Change> changes) {
  public PartStoreReport {
    changes = List.copyOf(changes);
  }

  /**
   * A part that a store finished storing, or removed.
   *
   * @param stored true if the part is now stored, false if it was removed
   * @param key scope and part
   * @param tokens length of the part in tokens
   */
  public record Change(boolean stored, String key, int tokens) {}
}
