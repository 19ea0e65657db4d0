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

/**
 * Encodes revisions that always increase. A store that rolls back to an older copy of its data
 * assigns the same revision numbers again. Here the high bits of a revision hold the generation,
 * which counts the rollbacks, so that code that merges by the greater revision need not handle
 * rollbacks.
 */
public final class Revision {
  private static final int NUMBER_BITS = 47;

  /** The largest generation that fits into the high bits of a revision. */
  public static final long MAX_GENERATION = (1L << (Long.SIZE - 1 - NUMBER_BITS)) - 1;

  private Revision() {}

  /** Returns the revision of a generation and the store's own number. */
  public static long of(long generation, long number) {
    return (generation << NUMBER_BITS) | number;
  }

  /** Returns how many times the store had rolled back when it assigned a revision. */
  public static long generation(long revision) {
    return revision >> NUMBER_BITS;
  }

  /** Returns the number that the store itself assigned, without the generation. */
  public static long number(long revision) {
    return revision & ((1L << NUMBER_BITS) - 1);
  }
}
