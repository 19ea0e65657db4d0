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
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RequestRun}: where requests are sent, when they are retried or refused, and what
 * their callers receive.
 */
public final class RequestRunTest {
  private ServingWorld world = new ServingWorld();

  @BeforeMethod
  public void newWorld() {
    world = new ServingWorld();
  }

  @Test
  public void anAnswerIsPassedOn() {
    RecordingSink sink = world.serve("/never/x");
    world.transport.last().answer(200, "hello");
    assertEquals(sink.seen.toString(), "answer 200 hello");
    assertEquals(world.serving.runningCount(), 0);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {"/nowhere/x", ServingWorld.KEY, "refused NOT_FOUND"},
      {"/never/x", null, "refused UNAUTHENTICATED"},
      {"/never/x", "foreign", "refused UNAUTHENTICATED"},
    };
  }

  @Test(dataProvider = "refusals")
  public void whatTheConfigurationForbidsIsRefused(String path, String key, String expected) {
    RecordingSink sink = world.serve(path, key);
    assertEquals(sink.seen.toString(), expected);
    assertTrue(world.transport.sends.isEmpty());
  }

  /** The request waited in the socket of a busy VM until hardly any time was left for it. */
  @Test
  public void aRequestWhoseTimeIsOverWhenItIsReadIsRefusedAtOnce() {
    CallerRequest late = world.request("/safe/x", ServingWorld.KEY, 500);
    world.loop.advance(490);
    RecordingSink sink = new RecordingSink();
    world.serving.serve(late, sink);
    assertEquals(sink.seen.toString(), "refused OVERLOADED");
    assertTrue(sink.retryAfterMs > 0);
    assertTrue(world.transport.sends.isEmpty());
    assertEquals(world.serving.runningCount(), 0);
  }

  @Test
  public void withoutConfigurationNothingIsDenied() {
    ServingState empty = new ServingState(world.loop, world.book, world.peerLoads, world.log, 3);
    Serving serving =
        new Serving(
            world.loop, empty, world.transport, world.log, new ServingOptions("dc-1", 20, 8_000));
    RecordingSink sink = new RecordingSink();
    serving.serve(world.request("/nowhere/x", null), sink);
    assertEquals(sink.seen.toString(), "refused NOT_READY");
    assertTrue(sink.retryAfterMs > 0);
  }

  /** The path, whether the request is retried, and what the caller has received by then. */
  @DataProvider
  public Object[][] brokenSends() {
    return new Object[][] {
      {"/never/x", false, "refused OUTCOME_UNKNOWN"},
      {"/once/x", false, "refused OUTCOME_UNKNOWN"},
      {"/unsafe/x", false, "refused OUTCOME_UNKNOWN"},
      {"/unresumable/x", false, "refused OUTCOME_UNKNOWN"},
      {"/safe/x", true, ""},
      {"/chat/x", true, ""},
    };
  }

  @Test(dataProvider = "brokenSends")
  public void whatMayHaveRunIsSentAgainOnlyWhereAllowed(
      String path, boolean isRetried, String expected) {
    RecordingSink sink = world.serve(path);
    world.transport.last().listener.broken("reset");
    assertEquals(world.transport.sends.size(), isRetried ? 2 : 1);
    assertEquals(sink.seen.toString(), expected);
    if (isRetried) {
      assertNotEquals(
          world.transport.sends.get(0).call.serverId(), world.transport.last().call.serverId());
    }
  }

  @Test
  public void aRefusedSendIsNotRunUntilAnotherIsInDoubt() {
    RecordingSink sink = world.serve("/never/x");
    world.transport.last().listener.notRun(NotRunReason.FULL, "full");
    assertEquals(sink.seen.toString(), "refused NO_BACKEND_SERVER");
    assertTrue(sink.retryAfterMs > 0);
  }

  /**
   * A request that may run only once is retried after a refusal. After an attempt that may have run
   * it is not retried, and the caller is not told that it did not run.
   */
  @Test
  public void oneSendInDoubtEndsARequestThatMayRunOnce() {
    RecordingSink sink = world.serve("/unsafe/x");
    world.transport.last().listener.notRun(NotRunReason.FULL, "full");
    assertEquals(world.transport.sends.size(), 2);
    world.transport.last().listener.broken("reset");
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(sink.seen.toString(), "refused OUTCOME_UNKNOWN");
  }

  @Test
  public void aFailedConnectIsNoSend() {
    RecordingSink sink = world.serve("/never/x");
    world.transport.last().listener.notRun(NotRunReason.NO_CONNECTION, "refused");
    assertEquals(world.transport.sends.size(), 2);
    world.transport.last().answer(200, "hello");
    assertEquals(sink.seen.toString(), "answer 200 hello");
  }

  @Test
  public void noMoreServersThanTheRouteAllows() {
    RecordingSink sink = world.serve("/safe/x");
    world.transport.last().listener.broken("reset");
    world.transport.last().listener.broken("reset");
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(sink.seen.toString(), "refused OUTCOME_UNKNOWN");
  }

  @Test
  public void aResumedStreamHasEachEventOnce() {
    RecordingSink sink = world.serve("/chat/x");
    FakeTransport.Sent first = world.transport.last();
    first.startStream();
    first.event("1");
    first.event("2");
    first.listener.broken("reset");
    FakeTransport.Sent second = world.transport.last();
    assertEquals(second.call.resumeAfter(), "2");
    second.startStream();
    second.event("2");
    second.event("3");
    second.listener.ended(new byte[0]);
    assertEquals(sink.seen.toString(), "stream 200; event id: 1; event id: 2; event id: 3; end");
  }

  @Test
  public void aStreamThatCannotBeResumedIsBrokenOff() {
    RecordingSink sink = world.serve("/once/x");
    world.transport.last().startStream();
    world.transport.last().event("1");
    world.transport.last().listener.broken("reset");
    assertEquals(sink.seen.toString(), "stream 200; event id: 1; abort");
  }

  @Test
  public void aResumedStreamThatFailsIsNotEndedAsComplete() {
    RecordingSink sink = world.serve("/chat/x");
    world.transport.last().startStream();
    world.transport.last().event("1");
    world.transport.last().listener.broken("reset");
    world.transport.last().answer(404, "no");
    assertEquals(sink.seen.toString(), "stream 200; event id: 1; abort");
  }

  @DataProvider
  public Object[][] statusesThatPromise() {
    return new Object[][] {{503}, {429}, {408}, {421}};
  }

  @Test(dataProvider = "statusesThatPromise")
  public void aServersStatusNeverPromisesThatWhatRanDidNot(int status) {
    RecordingSink sink = world.serve("/never/x");
    world.transport.last().answer(status, "busy");
    assertEquals(sink.seen.toString(), "refused FAILED_IN_RUN");
  }

  @Test
  public void theRoutesTimeEndsARequestInDoubt() {
    RecordingSink sink = world.serve("/never/x");
    world.loop.advance(1_199);
    assertEquals(sink.seen.toString(), "");
    world.loop.advance(1);
    assertEquals(sink.seen.toString(), "refused DEADLINE_IN_RUN");
    assertTrue(world.transport.last().cancelled);
  }

  @Test
  public void aCallerThatLeftCancelsTheWork() {
    RecordingSink sink = new RecordingSink();
    RequestRun run = world.serving.serve(world.request("/never/x", ServingWorld.KEY), sink);
    run.callerGone();
    assertTrue(world.transport.last().cancelled);
    assertEquals(sink.seen.toString(), "");
    assertEquals(world.serving.runningCount(), 0);
  }

  @Test
  public void aLeavingServerGetsNothingWhileOthersServe() {
    world.book.put(ServingWorld.leaving(ServingWorld.engine("e1", 1)), 2);
    world.serve("/chat/x");
    assertEquals(world.transport.last().call.serverId(), "e2");
  }

  @Test
  public void theLastLeavingServersServeForAShortWhile() {
    world.book.put(ServingWorld.leaving(ServingWorld.engine("e1", 1)), 2);
    world.book.remove("e2", 3);
    world.serve("/chat/x");
    assertEquals(world.transport.sends.size(), 1);
    world.loop.advance(1_400);
    RecordingSink sink = world.serve("/chat/x");
    assertEquals(sink.seen.toString(), "refused NO_BACKEND_SERVER");
  }

  @Test
  public void entriesThatLapsedWithTheStoreServeUntilTheyAreBack() {
    world.book.storeReturned();
    world.book.replaceAll(List.of(), 5);
    world.loop.advance(2_400);
    world.serve("/chat/x");
    assertEquals(world.transport.sends.size(), 1);
    world.loop.advance(200);
    RecordingSink sink = world.serve("/chat/x");
    assertEquals(sink.seen.toString(), "refused NO_BACKEND_SERVER");
  }

  /** The age limit applies to each weight version by itself, also once a newer one is published. */
  @Test
  public void weightsThatAreTooOldAreNotUsed() {
    world.nameWeights(2);
    world.loop.advance(5_000);
    world.nameWeights(3);
    world.book.put(ServingWorld.engine("e2", 2), 4);
    world.loop.advance(3_500);
    for (int i = 0; i < 20; i++) {
      world.serve("/chat/x");
      assertEquals(world.transport.last().call.serverId(), "e2");
    }
    world.loop.advance(5_000);
    world.serve("/chat/x");
    assertEquals(world.transport.last().call.weightVersion(), OptionalLong.of(3));
  }

  @Test
  public void anAnswerTellsThatAnEngineHasNewerWeights() {
    world.nameWeights(2);
    world.loop.advance(8_500);
    world.serve("/chat/x");
    FakeTransport.Sent first = world.transport.last();
    assertEquals(first.call.weightVersion(), OptionalLong.of(2));
    first.listener.head(new BackendTransport.AnswerHead(200, List.of(), true, OptionalLong.of(2)));
    world.serve("/chat/x");
    assertEquals(world.transport.last().call.serverId(), first.call.serverId());
    assertEquals(world.transport.last().call.weightVersion(), OptionalLong.of(2));
    assertEquals(world.transport.last().call.cacheScope(), "v2");
  }

  @Test
  public void retriesAreBounded() {
    int retries = 0;
    for (int i = 0; i < 100; i++) {
      int before = world.transport.sends.size();
      world.serve("/safe/x");
      world.transport.last().listener.broken("reset");
      retries += world.transport.sends.size() - before - 1;
    }
    assertTrue(retries <= 3 + 20, "retries: " + retries);
    assertFalse(retries == 0);
  }

  /**
   * The deadline of the caller, the time at the first server, and the time that the second gets.
   */
  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {
      {5_000, 0, 1_200},
      {5_000, 700, 500},
      {900, 0, 900},
      {900, 700, 200},
    };
  }

  @Test(dataProvider = "deadlines")
  public void noServerIsGivenMoreTimeThanIsLeft(long deadlineMs, long passedMs, long leftMs) {
    CallerRequest request = world.request("/safe/x", ServingWorld.KEY, deadlineMs);
    world.serving.serve(request, new RecordingSink());
    assertEquals(world.transport.last().call.leftMs(), Math.min(deadlineMs, 1_200));
    world.loop.advance(passedMs);
    world.transport.last().listener.broken("reset");
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(world.transport.last().call.leftMs(), leftMs);
  }

  /**
   * Parts that one team's requests left in a store or an engine are not used for an isolated team.
   */
  @Test
  public void anIsolatedTeamSharesNoPartWithOthers() {
    PartStores stores = world.state.parts();
    String address = ServingWorld.STORE.address();
    stores.listed(address, 1, world.loop.millis(), Map.of());
    world.loop.advance(2_000);
    stores.changed(address, 1, world.loop.millis(), Map.of("v1/a", 500), List.of());
    world.serve("/chat/x", ServingWorld.KEY);
    assertTrue(world.transport.last().call.moves().fetches());
    world.transport.last().answer(200, "");
    world.serve("/chat/x", ServingWorld.WALLED_KEY);
    BackendTransport.BackendCall isolated = world.transport.last().call;
    assertFalse(isolated.moves().fetches());
    assertEquals(isolated.cacheScope(), "v1-team-2");
    assertTrue(isolated.moves().saves(), "saved under its own scope");
    stores.changed(address, 1, world.loop.millis(), Map.of("v1-team-2/a", 500), List.of());
    world.serve("/chat/x", ServingWorld.WALLED_KEY);
    assertTrue(world.transport.last().call.moves().fetches());
  }

  @Test
  public void anOlderConfigurationChangesNothing() {
    world.state.configure(ServingWorld.config(3, "other"), 3);
    world.state.configure(ServingWorld.config(2, "plain"), 4);
    assertEquals(world.state.config().version(), 3);
    RecordingSink sink = world.serve("/never/x");
    assertEquals(sink.seen.toString(), "refused NO_BACKEND_SERVER");
  }

  /** A revoked key is refused from then on; requests in flight with it go on. */
  @Test
  public void aRevokedKeyIsRefusedAtOnce() {
    RecordingSink underWay = world.serve("/never/x", ServingWorld.WALLED_KEY);
    Team remaining = new Team("team-1", false, -1);
    world.state.configure(ServingWorld.config(2, "plain", Map.of(ServingWorld.KEY, remaining)), 2);
    RecordingSink refused = world.serve("/never/x", ServingWorld.WALLED_KEY);
    assertEquals(refused.seen.toString(), "refused UNAUTHENTICATED");
    world.transport.last().answer(200, "hello");
    assertEquals(underWay.seen.toString(), "answer 200 hello");
  }

  /** A server that asked for less load while the connection opened does not get the request. */
  @Test
  public void whatWasCalledBackGoesElsewhereAndCostsNoRetry() {
    ServingWorld fresh = new ServingWorld();
    RecordingSink sink = fresh.serve("/never/x");
    for (int i = 0; i < 2; i++) {
      FakeTransport.Sent first = fresh.transport.last();
      assertTrue(first.call.mayStillGo().getAsBoolean());
      fresh.book.find(first.call.serverId()).rest().asked(1_000, fresh.loop.millis());
      fresh.book.find(first.call.serverId()).noticed();
      assertFalse(first.call.mayStillGo().getAsBoolean());
      first.listener.notRun(NotRunReason.RECALLED, "less");
    }
    fresh.transport.last().answer(200, "hello");
    assertEquals(sink.seen.toString(), "answer 200 hello");
    assertEquals(fresh.transport.sends.size(), 3);
  }
}
