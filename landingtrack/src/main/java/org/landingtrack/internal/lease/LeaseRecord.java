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
package org.landingtrack.internal.lease;

/**
 * The stored state of a lease in the Object API.
 *
 * @param holder name of the process that holds the lease; empty after a release
 * @param epoch increases with each new lease term; the fencing token of the holder's orders
 * @param durationMs how long the lease lasts without a renewal, by the observer's own clock
 * @param renewals number of renewals in this term; each renewal changes the record by it
 */
public record LeaseRecord(String holder, long epoch, long durationMs, long renewals) {
  /** Largest epoch; the store's generation is in the bits from the 32nd on. */
  private static final long MAX_EPOCH = 1L << 60;

  /** Longest duration: an hour. A longer one would end the duty of the lease for all. */
  private static final long MAX_DURATION_MS = 3_600_000;

  /** Returns true if a process can have written these values. */
  boolean isValid() {
    return holder != null
        && epoch >= 0
        && epoch <= MAX_EPOCH
        && durationMs > 0
        && durationMs <= MAX_DURATION_MS
        && renewals >= 0;
  }
}
