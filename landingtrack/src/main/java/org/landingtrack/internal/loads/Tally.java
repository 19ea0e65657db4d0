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

import java.util.Arrays;

/**
 * Counters of one key of a topic, of one VM or summed over several. Immutable. VMs of different
 * releases may send different numbers of counters; a missing counter is 0.
 */
public final class Tally {
  private static final long[] NO_COUNTS = {};

  private final long key;
  private final long[] counts;

  /** Creates a tally; the topic defines the meaning of {@code counts}, none of them below 0. */
  public Tally(long key, long... counts) {
    this.key = key;
    this.counts = counts.clone();
  }

  /** Returns a tally without counters. */
  static Tally empty(long key) {
    return new Tally(key, NO_COUNTS);
  }

  /** Returns the key, usually the hash of a name. */
  public long key() {
    return key;
  }

  /** Returns the number of counters. */
  int size() {
    return counts.length;
  }

  /** Returns one of the counters; 0 if it is missing. */
  public long count(int index) {
    return index < counts.length ? counts[index] : 0;
  }

  /** Returns the sum of two tallies of one key. */
  Tally plus(Tally other) {
    long[] sum = new long[Math.max(counts.length, other.counts.length)];
    for (int i = 0; i < sum.length; i++) {
      sum[i] = count(i) + other.count(i);
    }
    return new Tally(key, sum);
  }

  /** Returns this tally minus another one, with no counter below 0. */
  Tally minus(Tally other) {
    long[] difference = new long[counts.length];
    for (int i = 0; i < difference.length; i++) {
      difference[i] = Math.max(0, counts[i] - other.count(i));
    }
    return new Tally(key, difference);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Tally tally && key == tally.key && Arrays.equals(counts, tally.counts);
  }

  @Override
  public int hashCode() {
    return 31 * Long.hashCode(key) + Arrays.hashCode(counts);
  }

  @Override
  public String toString() {
    return Long.toHexString(key) + Arrays.toString(counts);
  }
}
