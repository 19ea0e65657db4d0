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
import static org.testng.Assert.assertNotSame;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a server that restarts under its id keeps nothing of the earlier incarnation, and that
 * late reports about that incarnation are ignored.
 */
public final class ServerRestartTest {
  private static final long FIRST_STARTED_MS = 1_700_000_000_000L;
  private static final long SECOND_STARTED_MS = FIRST_STARTED_MS + 20_000;
  private static final Prompt PROMPT =
      new Prompt(ServingFixture.MODEL, 10, List.of(new Prompt.Part("a", 500)));
  private static final String SCOPE = "v1";

  private ServingFixture world = new ServingFixture();

  @BeforeMethod
  public void createWorld() {
    world = new ServingFixture();
    world.book.replaceAll(
        List.of(
            engine(FIRST_STARTED_MS, 1),
            plain("p1", FIRST_STARTED_MS),
            plain("p2", FIRST_STARTED_MS)),
        2);
    world.loop.advance(10_000);
  }

  private static ServerEntry engine(long startedMs, long weights) {
    return ServingFixture.engine("e1", weights).withStartedMs(startedMs);
  }

  private static ServerEntry plain(String id, long startedMs) {
    return ServingFixture.plain(id, "dc-1").withStartedMs(startedMs);
  }

  private Backend backend(String id) {
    return Objects.requireNonNull(world.book.find(id));
  }

  private List<String> usable(String service) {
    List<String> ids = new ArrayList<>();
    for (Backend backend : world.book.usable(service, backend -> true, false)) {
      ids.add(backend.entry().id());
    }
    return ids;
  }

  @DataProvider
  public Object[][] ways() {
    return new Object[][] {{"entry"}, {"list"}, {"report"}};
  }

  /** Reports the later incarnation first by an entry, by a list, or by the server itself. */
  private void restart(String way) {
    switch (way) {
      case "entry" -> world.book.put(engine(SECOND_STARTED_MS, 1), 3);
      case "list" ->
          world.book.replaceAll(
              List.of(
                  engine(SECOND_STARTED_MS, 1),
                  plain("p1", FIRST_STARTED_MS),
                  plain("p2", FIRST_STARTED_MS)),
              3);
      default -> world.book.onIncarnationReported("e1", SECOND_STARTED_MS);
    }
  }

  @Test(dataProvider = "ways")
  public void stateOfEarlierIncarnationIsDropped(String way) {
    Backend before = backend("e1");
    long now = world.loop.millis();
    before.cachedParts().recordPrefill(SCOPE, PROMPT, 10_000);
    before.learnWeightVersion(ServingFixture.MODEL, 2);
    before.cachedParts().recordPrefill(SCOPE, PROMPT, 10_000);
    before.refused(now);
    before.sent(500, 700);
    while (!before.failed(now)) {
      assertTrue(before.inFlight() > 0);
    }
    before.markReplaced();
    restart(way);
    Backend after = backend("e1");
    assertNotSame(after, before);
    assertEquals(after.cachedParts().cachedPrefixTokens(SCOPE, PROMPT), 0);
    assertEquals(after.weightVersion(ServingFixture.MODEL), 1);
    assertEquals(after.inFlight() + after.pendingTokens() + after.memoryTokensInUse(), 0);
    assertTrue(!after.isEjected(now) && !after.isReplaced() && !after.isRecentlyRefused(now));
    assertEquals(usable("engines"), List.of("e1"));
    before.finished(700);
    assertEquals(
        after.inFlight(), 0, "a request that ends at the earlier incarnation is not subtracted");
  }

  /**
   * The prefill speed belongs to the machine and stays; the delay of answers belongs to the
   * incarnation.
   */
  @Test
  public void machineSpeedIsKept() {
    EngineTiming timing = backend("e1").timing();
    Object request = new Object();
    long now = world.loop.millis();
    timing.recordSend(request, 10, 1_000, 0, true, now);
    timing.recordFirstEvent(request, now + 100);
    assertTrue(timing.lagMs(now + 100) > 0);
    restart("entry");
    assertEquals(backend("e1").timing().msPerToken(), timing.msPerToken());
    assertTrue(timing.msPerToken() > EngineTiming.PRIOR_MS_PER_TOKEN);
    assertEquals(backend("e1").timing().lagMs(now + 100), 0.0);
  }

  /**
   * An entry written by the earlier incarnation may be stored after one of the later incarnation.
   */
  @Test
  public void lateReportOfEarlierIncarnationIsIgnored() {
    restart("entry");
    Backend after = backend("e1");
    world.book.put(ServingFixture.leaving(engine(FIRST_STARTED_MS, 7)), 99);
    world.book.onIncarnationReported("e1", FIRST_STARTED_MS);
    assertSame(backend("e1"), after);
    assertEquals(after.entry(), engine(SECOND_STARTED_MS, 1));
    assertEquals(usable("engines"), List.of("e1"));
  }

  @Test
  public void otherVmsLoadOnEarlierIncarnationIsNotCounted() {
    Load load = new Load(backend("e1").incarnationHash(), 9_000, 30, 0, 9_000);
    Vm other = new Vm("10.0.1.2:70", "dc-1", 0);
    world.peerLoads.receive(
        new GossipMessage(other, 1, Kind.OWN, List.of(), List.of(load), List.of()));
    assertEquals(world.peerLoads.running(backend("e1").incarnationHash()), 30);
    long home = backend("e1").idHash();
    restart("entry");
    assertEquals(world.peerLoads.running(backend("e1").incarnationHash()), 0);
    assertEquals(backend("e1").idHash(), home, "prompts keep their affinity server");
  }

  @DataProvider
  public Object[][] underWay() {
    return new Object[][] {
      {"/never/x", "refused OUTCOME_UNKNOWN", false},
      {"/safe/x", "", true},
    };
  }

  /**
   * The connections of a server that lost power stay silent, so that its requests would have waited
   * for their deadline.
   */
  @Test(dataProvider = "underWay")
  public void requestsInFlightEndAsAfterCrash(String path, String seen, boolean again) {
    RecordingSink sink = world.serve(path);
    FakeTransport.Sent sent = world.transport.last();
    String id = sent.call.serverId();
    world.book.put(plain(id, SECOND_STARTED_MS), 3);
    assertTrue(sent.cancelled);
    assertEquals(world.transport.droppedServerIds, List.of(id));
    assertEquals(sink.log.toString(), seen);
    assertEquals(world.transport.sends.size(), again ? 2 : 1);
  }

  @Test
  public void requestsAtOtherServersContinue() {
    RecordingSink sink = world.serve("/never/x");
    FakeTransport.Sent sent = world.transport.last();
    String other = sent.call.serverId().equals("p1") ? "p2" : "p1";
    world.book.put(plain(other, SECOND_STARTED_MS), 3);
    sent.answer(200, "hello");
    assertEquals(sink.log.toString(), "answer 200 hello");
  }

  /** A removed server comes back by an entry of its later incarnation, not by a late report. */
  @Test
  public void removedServerReturnsOnlyByItsEntry() {
    world.book.remove("e1", 3);
    world.loop.advance(5_000);
    world.book.onIncarnationReported("e1", SECOND_STARTED_MS);
    assertEquals(usable("engines"), List.of());
    world.book.put(engine(SECOND_STARTED_MS, 1), 4);
    assertEquals(usable("engines"), List.of("e1"));
  }

  /**
   * On platforms that do not report starts, a server counts as one incarnation as long as it has
   * its id.
   */
  @Test
  public void entryWithoutStartTimeIsSameIncarnation() {
    Backend known = backend("e1");
    world.book.put(ServingFixture.engine("e1", 1), 3);
    assertSame(backend("e1"), known);
    assertEquals(known.entry().weightVersions(), Map.of(ServingFixture.MODEL, 1L));
  }

  /** Servers are indexed by service, which an entry may change. */
  @Test
  public void serverMovesBetweenServicesAndIsEvicted() {
    ServerEntry moved =
        new ServerEntry(
            "p1", "other", "10.0.0.2:80", "dc-1", 6, false, 0, Map.of(), FIRST_STARTED_MS);
    world.book.put(moved, 3);
    assertEquals(usable("plain"), List.of("p2"));
    assertEquals(usable("other"), List.of("p1"));
    world.book.remove("p1", 4);
    world.loop.advance(30_000);
    assertTrue(world.book.evictRemoved(20_000).contains("p1"));
    assertEquals(usable("other"), List.of());
  }
}
