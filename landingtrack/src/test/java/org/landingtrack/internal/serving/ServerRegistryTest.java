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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests which servers may get a request after entries changed, disappeared, or were missed for a
 * while.
 */
public final class ServerRegistryTest {
  private static final long LAST_RESORT_MS = 1_400;
  private static final long EXPIRY_GRACE_MS = 2_500;

  private ManualEventLoop loop = new ManualEventLoop();
  private ServerRegistry registry = newRegistry();

  @BeforeMethod
  public void createRegistryWithTwoEngines() {
    loop = new ManualEventLoop();
    registry = newRegistry();
    registry.replaceAll(List.of(engine("e1"), engine("e2")), 1);
  }

  private ServerRegistry newRegistry() {
    DecisionLog log = new RateLimitedDecisionLog(new StructuredDecisionLog(), loop);
    return new ServerRegistry(loop, log, LAST_RESORT_MS, EXPIRY_GRACE_MS);
  }

  private static ServerEntry engine(String id) {
    return ServingFixture.engine(id, 1);
  }

  private List<String> usable() {
    List<String> ids = new ArrayList<>();
    for (Backend backend : registry.usable("engines", backend -> true, false)) {
      ids.add(backend.entry().id());
    }
    Collections.sort(ids);
    return ids;
  }

  /**
   * Simulates the store's recovery: its full content is applied first, then the recovery is
   * reported.
   */
  private void recoverStore(ServerEntry... entries) {
    registry.replaceAll(List.of(entries), 9);
    registry.onStoreRecovered();
  }

  /**
   * Guards against requests to a server that left without announcement. Its entry disappeared and
   * the VM saw that at once. Two seconds later the store closed the VM's long-poll watch, as it may
   * at any time, and the VM read the full list. It took that for the end of an outage, after which
   * a missing entry may only have expired, and treated the server as usable for 2.5 s more: up to
   * 4.5 s after the removal, where 2 s are allowed. Only entries that went missing while the VM
   * received nothing from the store may have expired.
   */
  @Test
  public void interruptedWatchDoesNotRestoreRemovedServer() {
    registry.remove("e1", 2);
    loop.advance(2_000);
    recoverStore(engine("e2"));
    assertEquals(usable(), List.of("e2"));
    recoverStore();
    loop.advance(EXPIRY_GRACE_MS);
    assertEquals(usable(), List.of(), "an entry that was removed long ago");
  }

  @Test
  public void entryMissingAtStoreRecoveryMayHaveExpired() {
    loop.advance(8_000);
    recoverStore(engine("e2"));
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(EXPIRY_GRACE_MS);
    assertEquals(usable(), List.of("e2"));
  }

  @Test
  public void entryRemovedRightAfterStoreRecoveryMayHaveExpired() {
    loop.advance(8_000);
    recoverStore(engine("e1"), engine("e2"));
    loop.advance(1_000);
    registry.remove("e1", 10);
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(1_500);
    assertEquals(usable(), List.of("e2"));
  }

  /**
   * A store that has just recovered may fail some more calls; missing entries still count as
   * expired ones that may come back.
   */
  @Test
  public void repeatedStoreFailureCountsAsOneOutage() {
    loop.advance(8_000);
    recoverStore(engine("e2"));
    loop.advance(600);
    recoverStore(engine("e2"));
    loop.advance(2_400);
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(100);
    assertEquals(usable(), List.of("e2"));
  }

  @Test
  public void announcedLeavingServerIsNeverTreatedAsExpired() {
    registry.put(ServingFixture.leaving(engine("e1")), 2);
    loop.advance(LAST_RESORT_MS);
    recoverStore(engine("e2"));
    assertEquals(usable(), List.of("e2"));
  }

  /**
   * Guards against treating a list as a fresh change. All servers of a service began to leave while
   * a VM received nothing from the store: it was suspended, or its connection had gone silent,
   * which is detected after three to five seconds. It then read the full list, took the servers as
   * leaving since that moment, and gave them last-resort requests for 1.4 s more, where 2 s after
   * the change of their entries are allowed. A list does not say since when a server leaves.
   */
  @Test
  public void listDoesNotStartLastResortPeriod() {
    loop.advance(4_000);
    registry.replaceAll(
        List.of(ServingFixture.leaving(engine("e1")), ServingFixture.leaving(engine("e2"))), 2);
    assertEquals(usable(), List.of());
  }

  /**
   * A caller that knows that a change is older than its report passes the earliest time of the
   * change.
   */
  @Test
  public void lateChangeShortensLastResortPeriod() {
    registry.put(ServingFixture.leaving(engine("e1")), 2, loop.millis() - 1_000);
    registry.remove("e2", 3, loop.millis() - LAST_RESORT_MS);
    assertEquals(usable(), List.of("e1"));
    loop.advance(LAST_RESORT_MS - 1_000);
    assertEquals(usable(), List.of());
  }

  @Test
  public void listKeepsObservedLeavingTime() {
    ServerEntry leaving = ServingFixture.leaving(engine("e1"));
    registry.put(leaving, 2);
    registry.put(ServingFixture.leaving(engine("e2")), 3);
    registry.replaceAll(List.of(leaving), 4);
    loop.advance(LAST_RESORT_MS - 1);
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(1);
    assertEquals(usable(), List.of());
  }

  /**
   * The server's own announcement takes precedence over its entry in the store. An earlier
   * incarnation counts as a different server.
   */
  @Test
  public void serverThatReportedLeavingDoesNotReturn() {
    Backend backend = registry.find("e1");
    assertTrue(backend.markLeaving(loop.millis()));
    assertFalse(backend.markLeaving(loop.millis()));
    loop.advance(LAST_RESORT_MS);
    registry.put(engine("e1"), 2);
    registry.replaceAll(List.of(engine("e1"), engine("e2")), 3);
    assertEquals(usable(), List.of("e2"));
    registry.replaceAll(List.of(engine("e2")), 4);
    registry.onStoreRecovered();
    assertEquals(usable(), List.of("e2"), "lapsed");
    loop.advance(30_000);
    registry.evictRemoved(20_000);
    registry.onStoreRolledBack();
    registry.replaceAll(List.of(engine("e1"), engine("e2")), 5);
    assertEquals(usable(), List.of("e2"), "listed again by an older copy");
  }

  /**
   * The end of a server that announced to leave is not reported as unannounced, so requests that
   * fail there are not taken for the cause.
   */
  @Test
  public void serverThatReportedLeavingIsNotAnUnannouncedRemoval() {
    List<Backend> unannounced = new ArrayList<>();
    registry.onUnannouncedRemoval(unannounced::add);
    registry.find("e1").markLeaving(loop.millis());
    registry.remove("e1", 2);
    registry.remove("e2", 3);
    assertEquals(unannounced, List.of(registry.find("e2")));
  }
}
