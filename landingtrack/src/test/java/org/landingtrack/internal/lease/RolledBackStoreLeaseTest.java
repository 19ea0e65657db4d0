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

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.PlatformException.Reason;
import org.landingtrack.internal.platform.Revision;
import org.landingtrack.internal.platform.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Processes that restart now and then compete for a lease in a store that is repeatedly rolled back
 * to an older copy. A rollback loses the current holder: two processes could then hold the lease at
 * once, or get a token that is lower than an earlier one.
 */
public final class RolledBackStoreLeaseTest {
  private static final int SEEDS = 60;
  private static final int PROCESSES = 3;
  private static final long DURATION_MS = 1_500;
  private static final long STEP_MS = 50;
  private static final int STEPS = 4_000;

  private long nowMs;

  /** A store of one object that can be rolled back to a copy. */
  private static final class RollbackStore implements ObjectApi {
    private @Nullable StoredObject object;
    private @Nullable StoredObject snapshot;
    private long latestNumber = 1;
    private long snapshotNumber = 1;
    private long generation;

    void takeSnapshot() {
      snapshot = object;
      snapshotNumber = latestNumber;
    }

    void rollBack() {
      generation++;
      latestNumber = snapshotNumber;
      object =
          snapshot == null
              ? null
              : storedObject(snapshot.value(), Revision.number(snapshot.version()));
    }

    private StoredObject storedObject(String value, long revisionNumber) {
      long revision = Revision.of(generation, revisionNumber);
      return new StoredObject("leases/l", revision, revision, value);
    }

    @Override
    public long generation() {
      return generation;
    }

    @Override
    public Optional<StoredObject> read(CallClass callClass, String key) {
      return Optional.ofNullable(object);
    }

    @Override
    public StoredObject write(CallClass callClass, String key, String value, long expected) {
      long current = object == null ? ABSENT : object.version();
      if (current != expected) {
        throw new PlatformException(Reason.CONFLICT, "another version", current);
      }
      StoredObject written = storedObject(value, ++latestNumber);
      object = written;
      return written;
    }

    @Override
    public Listing list(CallClass callClass, String prefix, String after, int limit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
      throw new UnsupportedOperationException();
    }
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[SEEDS][];
    for (int seed = 0; seed < SEEDS; seed++) {
      seeds[seed] = new Object[] {seed};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void atMostOneHolderAndTokensIncrease(int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RollbackStore store = new RollbackStore();
    nowMs = 0;
    List<Lease> processes = new ArrayList<>();
    for (int i = 0; i < PROCESSES; i++) {
      processes.add(createLease(store, seed, i));
    }
    long highest = 0;
    int terms = 0;
    for (int step = 0; step < STEPS; step++) {
      nowMs += STEP_MS;
      injectFault(store, processes, seed * STEPS + step, random);
      Lease next = processes.get(random.nextInt(PROCESSES));
      if (random.nextInt(10) == 0) {
        next.release();
      } else {
        next.acquireOrRenew();
      }
      long held = 0;
      for (Lease lease : processes) {
        if (lease.token().isPresent()) {
          assertTrue(held == 0, "two processes hold the lease at ms " + nowMs);
          held = lease.token().getAsLong();
        }
      }
      assertTrue(
          held == 0 || held >= highest,
          held + " follows the higher token " + highest + " at " + nowMs);
      terms += held > highest ? 1 : 0;
      highest = Math.max(highest, held);
    }
    assertTrue(terms > 10, "the lease was acquired too few times: " + terms);
  }

  private Lease createLease(RollbackStore store, int start, int index) {
    return new Lease(store, () -> nowMs, () -> nowMs, "l", "p-" + start + "-" + index, DURATION_MS);
  }

  /**
   * Injects a random fault: the store copies its state, is rolled back, or a process that does not
   * hold the lease is replaced by a new one with another name.
   */
  private void injectFault(
      RollbackStore store, List<Lease> processes, int start, SplittableRandom random) {
    int drawn = random.nextInt(100);
    if (drawn < 4) {
      store.takeSnapshot();
    } else if (drawn < 6) {
      store.rollBack();
    } else if (drawn == 6) {
      int index = random.nextInt(PROCESSES);
      if (processes.get(index).token().isEmpty()) {
        processes.set(index, createLease(store, start, index));
      }
    }
  }
}
