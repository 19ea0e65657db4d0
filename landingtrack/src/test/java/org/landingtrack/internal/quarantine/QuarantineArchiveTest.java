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
import org.landingtrack.internal.serving.ManualEventLoop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the quarantine survives the loss of all VMs, also with store outages and conflicts.
 */
public final class QuarantineArchiveTest {
  private static final long DAY_MS = 24 * 3_600_000L;

  private ManualEventLoop loop = new ManualEventLoop();
  private FakeObjectApi store = new FakeObjectApi();
  private long clockAheadMs = DAY_MS;

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    store = new FakeObjectApi();
    clockAheadMs = DAY_MS;
  }

  private static SuspectKey digest(int number) {
    return SuspectKey.ofRequest("team", "POST", "h", "/" + number, new byte[number]);
  }

  /** Starts a VM; each needs its own seed. */
  private Quarantine startVm(long seed) {
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

  /** Crashes three servers of each request's own: crashes at the same servers have one cause. */
  private void crashThreeServers(Quarantine quarantine, SuspectKey request) {
    for (long incarnation = 1; incarnation <= 3; incarnation++) {
      quarantine.recordCrash(
          List.of(Charge.ofRequest(request)), 10L * request.bodyBytes() + incarnation);
    }
    loop.advance(1);
  }

  @Test
  public void theQuarantineSurvivesTheLossOfAllVms() {
    crashThreeServers(startVm(1), digest(1));
    startVm(2).recordCrash(List.of(Charge.ofRequest(digest(2))), 1);
    loop.advance(10_000);
    Quarantine next = startVm(3);
    assertTrue(next.isQuarantined(digest(1)));
    assertEquals(next.crashCount(digest(2)), 0, "a suspect with one crash is not written");
    assertEquals(store.writes(), 1);
  }

  /** The VM that saw the last crash writes at once; VMs that receive the report don't write. */
  @Test
  public void onlyOneVmWritesARequest() {
    Quarantine first = startVm(1);
    Quarantine second = startVm(2);
    crashThreeServers(first, digest(1));
    first.nextRound();
    second.receive(first.currentReports());
    loop.advance(10_000);
    assertEquals(store.writes(), 1);
  }

  /** The VM that saw the last crash is lost before it wrote to the store. */
  @Test
  public void anotherVmWritesIfTheFirstIsLost() {
    Quarantine first = new Quarantine(loop);
    Quarantine second = startVm(2);
    crashThreeServers(first, digest(1));
    first.nextRound();
    second.receive(first.currentReports());
    loop.advance(10_000);
    assertTrue(startVm(3).isQuarantined(digest(1)));
  }

  @Test
  public void failedWritesAreRetried() {
    store.failWrites(Fault.REJECTED, Fault.LOST_CALL, Fault.LOST_ANSWER);
    Quarantine first = startVm(1);
    crashThreeServers(first, digest(1));
    crashThreeServers(first, digest(2));
    store.outage(true);
    loop.advance(3_000);
    store.outage(false);
    loop.advance(5_000);
    Quarantine next = startVm(3);
    assertTrue(next.isQuarantined(digest(1)) && next.isQuarantined(digest(2)));
  }

  /** A VM that starts during a store outage reads once the store has recovered. */
  @Test
  public void aFailedReadIsRetried() {
    crashThreeServers(startVm(1), digest(1));
    store.outage(true);
    Quarantine next = startVm(2);
    loop.advance(4_000);
    assertFalse(next.isQuarantined(digest(1)));
    store.outage(false);
    loop.advance(1_000);
    assertTrue(next.isQuarantined(digest(1)));
  }

  @DataProvider
  public Object[][] oddObjects() {
    return new Object[][] {
      {"null"},
      {"7"},
      {"{}"},
      {"{\"requests\":null}"},
      {"["},
      {"[".repeat(100_000)},
      {"{\"requests\":[null"},
    };
  }

  /** Guards against a NullPointerException at the start of a VM, which then wrote nothing more. */
  @Test(dataProvider = "oddObjects")
  public void unreadableObjectIsReplaced(String odd) {
    store.write(CallClass.STATUS, QuarantineArchive.KEY, odd, 0);
    crashThreeServers(startVm(1), digest(1));
    loop.advance(10_000);
    assertTrue(startVm(2).isQuarantined(digest(1)));
  }

  @DataProvider
  public Object[][] oddRequests() {
    return new Object[][] {
      {"null"},
      {"7"},
      {"{}"},
      {"9".repeat(5_000)},
      {"[".repeat(100_000) + "]".repeat(100_000)},
      {"{\"digest\":null,\"bodyBytes\":1,\"ended\":[1],\"lastMs\":1}"},
      {"{\"digest\":\"x\",\"bodyBytes\":1,\"ended\":[null],\"lastMs\":1e400}"},
    };
  }

  @Test(dataProvider = "oddRequests")
  public void oddRequestCostsOnlyItself(String odd) {
    crashThreeServers(startVm(1), digest(1));
    loop.advance(10_000);
    String stored = store.read(CallClass.STATUS, QuarantineArchive.KEY).orElseThrow().value();
    store.write(CallClass.STATUS, QuarantineArchive.KEY, stored.replace("[{", "[" + odd + ",{"), 1);
    assertTrue(startVm(2).isQuarantined(digest(1)));
  }

  @Test
  public void expiredAndUnreadableRequestsAreReplaced() {
    crashThreeServers(startVm(1), digest(1));
    clockAheadMs += 2 * Quarantine.RETENTION_MS;
    assertFalse(startVm(2).isQuarantined(digest(1)));
    crashThreeServers(startVm(3), digest(3));
    String stored = store.read(CallClass.STATUS, QuarantineArchive.KEY).orElseThrow().value();
    assertFalse(stored.contains(digest(1).hex()), stored);
    String malformedDigest =
        "{\"requests\":[{\"digest\":\"xy\",\"bodyBytes\":1,\"ended\":[],\"lastMs\":1}]}";
    for (String unreadable : List.of("{\"requests\":7}", "{\"requests\":null}", malformedDigest)) {
      long version = store.read(CallClass.STATUS, QuarantineArchive.KEY).orElseThrow().version();
      store.write(CallClass.STATUS, QuarantineArchive.KEY, unreadable, version);
      crashThreeServers(startVm(4), digest(4));
      assertTrue(startVm(5).isQuarantined(digest(4)), unreadable);
    }
  }

  /** Otherwise it would be refused again after the loss of all VMs. */
  @Test
  public void whatEndsWellIsRemovedFromTheStore() {
    Quarantine first = startVm(1);
    crashThreeServers(first, digest(1));
    crashThreeServers(first, digest(2));
    first.recordSuccess(List.of(digest(1)));
    Quarantine next = startVm(2);
    assertFalse(next.isQuarantined(digest(1)));
    assertTrue(next.isQuarantined(digest(2)));
    crashThreeServers(startVm(3), digest(1));
    assertTrue(startVm(4).isQuarantined(digest(1)));
  }

  @Test
  public void quarantinedPartsSurviveTheLossOfAllVms() {
    SuspectKey part = SuspectKey.ofPromptPart("m", "bad");
    Quarantine first = startVm(1);
    for (long incarnation = 1; incarnation <= 5; incarnation++) {
      first.recordCrash(List.of(new Charge(part, 2, true)), incarnation);
      loop.advance(1_000);
    }
    assertTrue(first.isQuarantined(part));
    loop.advance(10_000);
    assertTrue(startVm(2).isQuarantined(part));
  }

  @Test
  public void onlyTheNewestRequestsAreStored() {
    Quarantine first = startVm(1);
    for (int i = 0; i < QuarantineArchive.MAX_STORED + 20; i++) {
      crashThreeServers(first, digest(i));
      loop.advance(10);
    }
    Quarantine next = startVm(2);
    assertFalse(next.isQuarantined(digest(0)));
    assertTrue(next.isQuarantined(digest(QuarantineArchive.MAX_STORED + 19)));
  }
}
