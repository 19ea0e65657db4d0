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
package org.landingtrack.internal.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.serving.ManualLoop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the quarantine survives the loss of all VMs, also with store outages and conflicts.
 */
public final class QuarantineArchiveTest {
  private static final long DAY_MS = 24 * 3_600_000L;

  private ManualLoop loop = new ManualLoop();
  private FakeObjectApi store = new FakeObjectApi();
  private long clockAheadMs = DAY_MS;

  @BeforeMethod
  public void newStore() {
    loop = new ManualLoop();
    store = new FakeObjectApi();
    clockAheadMs = DAY_MS;
  }

  private static RequestDigest digest(int number) {
    return RequestDigest.of("team", "POST", "h", "/" + number, new byte[number]);
  }

  /** Starts a VM; each needs its own seed. */
  private Quarantine start(long seed) {
    Quarantine quarantine = new Quarantine(loop);
    QuarantineArchive archive =
        new QuarantineArchive(
            store,
            quarantine,
            Runnable::run,
            Runnable::run,
            loop::schedule,
            () -> loop.millis() + clockAheadMs,
            new Random(seed));
    archive.start();
    return quarantine;
  }

  private void threeServersEnd(Quarantine quarantine, RequestDigest request) {
    for (long incarnation = 1; incarnation <= 3; incarnation++) {
      quarantine.charge(request, incarnation);
    }
    loop.advance(1);
  }

  @Test
  public void whatIsQuarantinedOutlivesAllVms() {
    threeServersEnd(start(1), digest(1));
    start(2).charge(digest(2), 1);
    loop.advance(10_000);
    Quarantine next = start(3);
    assertTrue(next.holds(digest(1)));
    assertEquals(next.ends(digest(2)), 0, "a suspect with one crash is not written");
    assertEquals(store.writes(), 1);
  }

  /** The VM that saw the last crash writes at once; VMs that receive the report don't write. */
  @Test
  public void oneVmWritesWhatAllKnow() {
    Quarantine first = start(1);
    Quarantine second = start(2);
    threeServersEnd(first, digest(1));
    first.nextRound();
    second.heard(first.news());
    loop.advance(10_000);
    assertEquals(store.writes(), 1);
  }

  /** The VM that saw the last crash is lost before it wrote to the store. */
  @Test
  public void anotherVmWritesWhereTheFirstCould() {
    Quarantine first = new Quarantine(loop);
    Quarantine second = start(2);
    threeServersEnd(first, digest(1));
    first.nextRound();
    second.heard(first.news());
    loop.advance(10_000);
    assertTrue(start(3).holds(digest(1)));
  }

  @Test
  public void failuresOfTheStoreDelayIt() {
    store.failWrites(Fault.OUT, Fault.LOST_CALL, Fault.LOST_ANSWER);
    Quarantine first = start(1);
    threeServersEnd(first, digest(1));
    threeServersEnd(first, digest(2));
    store.out(true);
    loop.advance(3_000);
    store.out(false);
    loop.advance(5_000);
    Quarantine next = start(3);
    assertTrue(next.holds(digest(1)) && next.holds(digest(2)));
  }

  /** A VM that starts during a store outage reads once the store has recovered. */
  @Test
  public void aVmThatCouldNotReadTriesAgain() {
    threeServersEnd(start(1), digest(1));
    store.out(true);
    Quarantine next = start(2);
    loop.advance(4_000);
    assertFalse(next.holds(digest(1)));
    store.out(false);
    loop.advance(1_000);
    assertTrue(next.holds(digest(1)));
  }

  @Test
  public void whatIsOldOrUnreadableIsReplaced() {
    threeServersEnd(start(1), digest(1));
    clockAheadMs += 2 * Quarantine.KEPT_MS;
    assertFalse(start(2).holds(digest(1)));
    threeServersEnd(start(3), digest(3));
    String stored = store.read(CallClass.STATUS, QuarantineArchive.KEY).orElseThrow().value();
    assertFalse(stored.contains(digest(1).hex()), stored);
    String malformedDigest =
        "{\"requests\":[{\"digest\":\"xy\",\"bodyBytes\":1,\"ended\":[],\"lastMs\":1}]}";
    for (String unreadable : List.of("{\"requests\":7}", "{\"requests\":null}", malformedDigest)) {
      long version = store.read(CallClass.STATUS, QuarantineArchive.KEY).orElseThrow().version();
      store.write(CallClass.STATUS, QuarantineArchive.KEY, unreadable, version);
      threeServersEnd(start(4), digest(4));
      assertTrue(start(5).holds(digest(4)), unreadable);
    }
  }

  @Test
  public void onlySoManyAreKept() {
    Quarantine first = start(1);
    for (int i = 0; i < QuarantineArchive.MAX_KEPT + 20; i++) {
      threeServersEnd(first, digest(i));
      loop.advance(10);
    }
    Quarantine next = start(2);
    assertFalse(next.holds(digest(0)));
    assertTrue(next.holds(digest(QuarantineArchive.MAX_KEPT + 19)));
  }
}
