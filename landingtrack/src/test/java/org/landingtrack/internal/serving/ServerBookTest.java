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
public final class ServerBookTest {
  private static final long LAST_RESORT_MS = 1_400;
  private static final long LAPSED_MS = 2_500;

  private ManualLoop loop = new ManualLoop();
  private ServerBook book = newBook();

  @BeforeMethod
  public void twoEngines() {
    loop = new ManualLoop();
    book = newBook();
    book.replaceAll(List.of(engine("e1"), engine("e2")), 1);
  }

  private ServerBook newBook() {
    DecisionLog log = new BoundedDecisionLog(new StructuredDecisionLog(), loop);
    return new ServerBook(loop, log, LAST_RESORT_MS, LAPSED_MS);
  }

  private static ServerEntry engine(String id) {
    return ServingWorld.engine(id, 1);
  }

  private List<String> usable() {
    List<String> ids = new ArrayList<>();
    for (Backend backend : book.usable("engines", backend -> true, false)) {
      ids.add(backend.entry().id());
    }
    Collections.sort(ids);
    return ids;
  }

  /**
   * Simulates the store's recovery: its full content is applied first, then the recovery is
   * reported.
   */
  private void regained(ServerEntry... entries) {
    book.replaceAll(List.of(entries), 9);
    book.storeReturned();
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
  public void aCutWatchDoesNotBringBackAServerThatWasGoneBefore() {
    book.remove("e1", 2);
    loop.advance(2_000);
    regained(engine("e2"));
    assertEquals(usable(), List.of("e2"));
    regained();
    loop.advance(LAPSED_MS);
    assertEquals(usable(), List.of(), "an entry that was removed long ago");
  }

  @Test
  public void anEntryThatIsMissingAtTheStoresReturnIsInDoubt() {
    loop.advance(8_000);
    regained(engine("e2"));
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(LAPSED_MS);
    assertEquals(usable(), List.of("e2"));
  }

  @Test
  public void anEntryThatLapsesRightAfterTheStoresReturnIsInDoubt() {
    loop.advance(8_000);
    regained(engine("e1"), engine("e2"));
    loop.advance(1_000);
    book.remove("e1", 10);
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(1_500);
    assertEquals(usable(), List.of("e2"));
  }

  /**
   * A store that has just recovered may fail some more calls; missing entries still count as
   * expired ones that may come back.
   */
  @Test
  public void aStoreThatFailsAgainAtOnceLeavesTheDoubt() {
    loop.advance(8_000);
    regained(engine("e2"));
    loop.advance(600);
    regained(engine("e2"));
    loop.advance(2_400);
    assertEquals(usable(), List.of("e1", "e2"));
    loop.advance(100);
    assertEquals(usable(), List.of("e2"));
  }

  @Test
  public void aServerThatStatedThatItLeavesIsNeverInDoubt() {
    book.put(ServingWorld.leaving(engine("e1")), 2);
    loop.advance(LAST_RESORT_MS);
    regained(engine("e2"));
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
  public void aListDoesNotSayThatAServerBeganToLeaveJustNow() {
    loop.advance(4_000);
    book.replaceAll(
        List.of(ServingWorld.leaving(engine("e1")), ServingWorld.leaving(engine("e2"))), 2);
    assertEquals(usable(), List.of());
  }

  /**
   * A caller that knows that a change is older than its report passes the earliest time of the
   * change.
   */
  @Test
  public void aChangeThatWasHeardOfLateIsALastResortForLess() {
    book.put(ServingWorld.leaving(engine("e1")), 2, loop.millis() - 1_000);
    book.remove("e2", 3, loop.millis() - LAST_RESORT_MS);
    assertEquals(usable(), List.of("e1"));
    loop.advance(LAST_RESORT_MS - 1_000);
    assertEquals(usable(), List.of());
  }

  @Test
  public void aListLeavesTheTimeOfAServerThatWasSeenToBeginToLeave() {
    ServerEntry leaving = ServingWorld.leaving(engine("e1"));
    book.put(leaving, 2);
    book.put(ServingWorld.leaving(engine("e2")), 3);
    book.replaceAll(List.of(leaving), 4);
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
  public void aServerThatSaysItselfThatItLeavesIsNotBack() {
    Backend backend = book.find("e1");
    assertTrue(backend.saysLeaving(loop.millis()));
    assertFalse(backend.saysLeaving(loop.millis()));
    loop.advance(LAST_RESORT_MS);
    book.put(engine("e1"), 2);
    book.replaceAll(List.of(engine("e1"), engine("e2")), 3);
    assertEquals(usable(), List.of("e2"));
    book.replaceAll(List.of(engine("e2")), 4);
    book.storeReturned();
    assertEquals(usable(), List.of("e2"), "lapsed");
    loop.advance(30_000);
    book.forgetGone(20_000);
    book.storeRewound();
    book.replaceAll(List.of(engine("e1"), engine("e2")), 5);
    assertEquals(usable(), List.of("e2"), "listed again by an older copy");
  }

  /**
   * The end of a server that announced to leave is not reported as unannounced, so requests that
   * fail there are not taken for the cause.
   */
  @Test
  public void aServerThatSaidThatItLeavesIsAnnounced() {
    List<Backend> unannounced = new ArrayList<>();
    book.onGoneUnannounced(unannounced::add);
    book.find("e1").saysLeaving(loop.millis());
    book.remove("e1", 2);
    book.remove("e2", 3);
    assertEquals(unannounced, List.of(book.find("e2")));
  }
}
