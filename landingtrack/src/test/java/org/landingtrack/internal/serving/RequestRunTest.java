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
  private ServingFixture fixture = new ServingFixture();

  @BeforeMethod
  public void newFixture() {
    fixture = new ServingFixture();
  }

  @Test
  public void responseIsForwarded() {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.transport.last().answer(200, "hello");
    assertEquals(sink.log.toString(), "answer 200 hello");
    assertEquals(fixture.serving.runningCount(), 0);
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {"/nowhere/x", ServingFixture.KEY, "refused NOT_FOUND"},
      {"/never/x", null, "refused UNAUTHENTICATED"},
      {"/never/x", "foreign", "refused UNAUTHENTICATED"},
    };
  }

  @Test(dataProvider = "refusals")
  public void unknownRouteOrKeyIsRefused(String path, String key, String expected) {
    RecordingSink sink = fixture.serve(path, key);
    assertEquals(sink.log.toString(), expected);
    assertTrue(fixture.transport.sends.isEmpty());
  }

  /** The request waited in the socket of a busy VM until hardly any time was left for it. */
  @Test
  public void requestReadAfterItsDeadlineIsRefused() {
    CallerRequest late = fixture.request("/safe/x", ServingFixture.KEY, 500);
    fixture.loop.advance(490);
    RecordingSink sink = new RecordingSink();
    fixture.serving.serve(late, sink);
    assertEquals(sink.log.toString(), "refused OVERLOADED");
    assertTrue(sink.retryAfterMs > 0);
    assertTrue(fixture.transport.sends.isEmpty());
    assertEquals(fixture.serving.runningCount(), 0);
  }

  @Test
  public void missingConfigurationIsReportedAsNotReady() {
    ServingState empty =
        new ServingState(fixture.loop, fixture.book, fixture.peerLoads, fixture.log, 3);
    Serving serving =
        new Serving(
            fixture.loop,
            empty,
            fixture.transport,
            fixture.log,
            new ServingOptions("dc-1", 20, 8_000));
    RecordingSink sink = new RecordingSink();
    serving.serve(fixture.request("/nowhere/x", null), sink);
    assertEquals(sink.log.toString(), "refused NOT_READY");
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
  public void requestThatMayHaveRunIsRetriedOnlyIfAllowed(
      String path, boolean isRetried, String expected) {
    RecordingSink sink = fixture.serve(path);
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), isRetried ? 2 : 1);
    assertEquals(sink.log.toString(), expected);
    if (isRetried) {
      assertNotEquals(
          fixture.transport.sends.get(0).call.serverId(), fixture.transport.last().call.serverId());
    }
  }

  @Test
  public void refusedAttemptIsReportedAsNotRun() {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.transport.last().listener.notRun(NotRunReason.FULL, "full");
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
    assertTrue(sink.retryAfterMs > 0);
  }

  /**
   * A request that may run only once is retried after a refusal. After an attempt that may have run
   * it is not retried, and the caller is not told that it did not run.
   */
  @Test
  public void attemptInDoubtEndsARequestThatMayRunOnce() {
    RecordingSink sink = fixture.serve("/unsafe/x");
    fixture.transport.last().listener.notRun(NotRunReason.FULL, "full");
    assertEquals(fixture.transport.sends.size(), 2);
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), 2);
    assertEquals(sink.log.toString(), "refused OUTCOME_UNKNOWN");
  }

  @Test
  public void failedConnectDoesNotCountAsAttempt() {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.transport.last().listener.notRun(NotRunReason.NO_CONNECTION, "refused");
    assertEquals(fixture.transport.sends.size(), 2);
    fixture.transport.last().answer(200, "hello");
    assertEquals(sink.log.toString(), "answer 200 hello");
  }

  @Test
  public void attemptsAreLimitedByTheRoute() {
    RecordingSink sink = fixture.serve("/safe/x");
    fixture.transport.last().listener.outcomeUnknown("reset");
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), 2);
    assertEquals(sink.log.toString(), "refused OUTCOME_UNKNOWN");
  }

  @Test
  public void aResumedStreamHasEachEventOnce() {
    RecordingSink sink = fixture.serve("/chat/x");
    FakeTransport.Sent first = fixture.transport.last();
    first.startStream();
    first.event("1");
    first.event("2");
    first.listener.outcomeUnknown("reset");
    FakeTransport.Sent second = fixture.transport.last();
    assertEquals(second.call.resumeAfter(), "2");
    second.startStream();
    second.event("2");
    second.event("3");
    second.listener.completed(new byte[0]);
    assertEquals(sink.log.toString(), "stream 200; event id: 1; event id: 2; event id: 3; end");
  }

  @Test
  public void aStreamThatCannotBeResumedIsBrokenOff() {
    RecordingSink sink = fixture.serve("/once/x");
    fixture.transport.last().startStream();
    fixture.transport.last().event("1");
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(sink.log.toString(), "stream 200; event id: 1; abort");
  }

  @Test
  public void aResumedStreamThatFailsIsNotEndedAsComplete() {
    RecordingSink sink = fixture.serve("/chat/x");
    fixture.transport.last().startStream();
    fixture.transport.last().event("1");
    fixture.transport.last().listener.outcomeUnknown("reset");
    fixture.transport.last().answer(404, "no");
    assertEquals(sink.log.toString(), "stream 200; event id: 1; abort");
  }

  @DataProvider
  public Object[][] statusesThatPromise() {
    return new Object[][] {{503}, {429}, {408}, {421}};
  }

  @Test(dataProvider = "statusesThatPromise")
  public void serverStatusThatImpliesNotRunIsReplaced(int status) {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.transport.last().answer(status, "busy");
    assertEquals(sink.log.toString(), "refused FAILED_IN_RUN");
  }

  @Test
  public void routeTimeoutEndsARequestInDoubt() {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.loop.advance(1_199);
    assertEquals(sink.log.toString(), "");
    fixture.loop.advance(1);
    assertEquals(sink.log.toString(), "refused DEADLINE_IN_RUN");
    assertTrue(fixture.transport.last().cancelled);
  }

  @Test
  public void requestThatWasNeverSentIsReportedAsNotRunAtItsDeadline() {
    RecordingSink sink = fixture.serve("/never/x");
    fixture.transport.last().connecting = true;
    fixture.loop.advance(1_200);
    assertEquals(sink.log.toString(), "refused OVERLOADED");
    assertTrue(fixture.transport.last().cancelled);
  }

  /** The path, and whether the request is retried when the link to its server fails. */
  @DataProvider
  public Object[][] linkFailures() {
    return new Object[][] {
      {"/unsafe/x", false},
      {"/unresumable/x", false},
      {"/never/x", false},
      {"/once/x", false},
      {"/safe/x", true},
      {"/chat/x", true},
    };
  }

  @Test(dataProvider = "linkFailures")
  public void failedLinkRetriesOnlyWhatMayRunTwice(String path, boolean isRetried) {
    RecordingSink sink = fixture.serve(path);
    FakeTransport.Sent first = fixture.transport.last();
    first.listener.linkDown();
    assertEquals(fixture.transport.sends.size(), isRetried ? 2 : 1);
    assertEquals(first.cancelled, isRetried);
    fixture.transport.last().answer(200, "hello");
    assertEquals(sink.log.toString(), "answer 200 hello");
  }

  @Test
  public void failedLinkRetriesWithinTheRetryBudget() {
    for (int i = 0; i < 30; i++) {
      fixture.serve("/safe/x");
    }
    List<FakeTransport.Sent> first = List.copyOf(fixture.transport.sends);
    first.forEach(sent -> sent.listener.linkDown());
    int retries = fixture.transport.sends.size() - first.size();
    assertTrue(retries > 0 && retries <= 3 + 30 * 20 / 100, retries + " retries");
  }

  @Test
  public void unreachableServerIsNotEjected() {
    for (int i = 0; i < 6; i++) {
      fixture.serve("/never/x");
      for (int server = 0; server < 3; server++) {
        fixture.transport.last().listener.notRun(NotRunReason.UNREACHABLE, "link down");
      }
    }
    for (String id : List.of("p1", "p2", "p3")) {
      Backend backend = fixture.book.find(id);
      assertTrue(backend != null && !backend.isEjected(fixture.loop.millis()), id);
    }
    assertEquals(fixture.serving.fleetEjectedCount(), 0);
  }

  @Test
  public void unreachableServersUseUpNoRetries() {
    for (int i = 0; i < 30; i++) {
      fixture.serve("/safe/x");
      for (int server = 0; server < 3; server++) {
        fixture.transport.last().listener.notRun(NotRunReason.UNREACHABLE, "link down");
      }
    }
    assertTrue(fixture.state.retries("plain").hasRetry());
  }

  @Test
  public void requestIsRefusedAsNotRunIfNoServerIsReachable() {
    RecordingSink sink = fixture.serve("/never/x");
    for (int server = 0; server < 3; server++) {
      fixture.transport.last().listener.notRun(NotRunReason.UNREACHABLE, "link down");
    }
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
    assertTrue(sink.retryAfterMs > 0);
  }

  @Test
  public void disconnectedCallerCancelsTheAttempt() {
    RecordingSink sink = new RecordingSink();
    RequestRun run = fixture.serving.serve(fixture.request("/never/x", ServingFixture.KEY), sink);
    run.callerDisconnected();
    assertTrue(fixture.transport.last().cancelled);
    assertEquals(sink.log.toString(), "");
    assertEquals(fixture.serving.runningCount(), 0);
  }

  @Test
  public void aLeavingServerGetsNothingWhileOthersServe() {
    fixture.book.put(ServingFixture.leaving(ServingFixture.engine("e1", 1)), 2);
    fixture.serve("/chat/x");
    assertEquals(fixture.transport.last().call.serverId(), "e2");
  }

  @Test
  public void theLastLeavingServersServeForAShortWhile() {
    fixture.book.put(ServingFixture.leaving(ServingFixture.engine("e1", 1)), 2);
    fixture.book.remove("e2", 3);
    fixture.serve("/chat/x");
    assertEquals(fixture.transport.sends.size(), 1);
    fixture.loop.advance(1_400);
    RecordingSink sink = fixture.serve("/chat/x");
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
  }

  @Test
  public void entriesThatLapsedWithTheStoreServeUntilTheyAreBack() {
    fixture.book.onStoreRecovered();
    fixture.book.replaceAll(List.of(), 5);
    fixture.loop.advance(2_400);
    fixture.serve("/chat/x");
    assertEquals(fixture.transport.sends.size(), 1);
    fixture.loop.advance(200);
    RecordingSink sink = fixture.serve("/chat/x");
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
  }

  /** The age limit applies to each weight version by itself, also once a newer one is published. */
  @Test
  public void weightsThatAreTooOldAreNotUsed() {
    fixture.nameWeights(2);
    fixture.loop.advance(5_000);
    fixture.nameWeights(3);
    fixture.book.put(ServingFixture.engine("e2", 2), 4);
    fixture.loop.advance(3_500);
    for (int i = 0; i < 20; i++) {
      fixture.serve("/chat/x");
      assertEquals(fixture.transport.last().call.serverId(), "e2");
    }
    fixture.loop.advance(5_000);
    fixture.serve("/chat/x");
    assertEquals(fixture.transport.last().call.weightVersion(), OptionalLong.of(3));
  }

  @Test
  public void anAnswerTellsThatAnEngineHasNewerWeights() {
    fixture.nameWeights(2);
    fixture.loop.advance(8_500);
    fixture.serve("/chat/x");
    FakeTransport.Sent first = fixture.transport.last();
    assertEquals(first.call.weightVersion(), OptionalLong.of(2));
    first.listener.head(
        new BackendTransport.ResponseHead(200, List.of(), true, OptionalLong.of(2)));
    fixture.serve("/chat/x");
    assertEquals(fixture.transport.last().call.serverId(), first.call.serverId());
    assertEquals(fixture.transport.last().call.weightVersion(), OptionalLong.of(2));
    assertEquals(fixture.transport.last().call.cacheScope(), "v2");
  }

  @Test
  public void retriesAreBounded() {
    int retries = 0;
    for (int i = 0; i < 100; i++) {
      int before = fixture.transport.sends.size();
      fixture.serve("/safe/x");
      fixture.transport.last().listener.outcomeUnknown("reset");
      retries += fixture.transport.sends.size() - before - 1;
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
  public void serverGetsTheTimeLeftUntilTheDeadline(long deadlineMs, long passedMs, long leftMs) {
    CallerRequest request = fixture.request("/safe/x", ServingFixture.KEY, deadlineMs);
    fixture.serving.serve(request, new RecordingSink());
    assertEquals(fixture.transport.last().call.leftMs(), Math.min(deadlineMs, 1_200));
    fixture.loop.advance(passedMs);
    fixture.transport.last().listener.outcomeUnknown("reset");
    assertEquals(fixture.transport.sends.size(), 2);
    assertEquals(fixture.transport.last().call.leftMs(), leftMs);
  }

  /**
   * Parts that one team's requests left in a store or an engine are not used for an isolated team.
   */
  @Test
  public void anIsolatedTeamSharesNoPartWithOthers() {
    PartStores stores = fixture.state.partStores();
    String address = ServingFixture.STORE.address();
    stores.replaceParts(address, 1, fixture.loop.millis(), Map.of());
    fixture.loop.advance(2_000);
    stores.applyChanges(address, 1, fixture.loop.millis(), Map.of("v1/a", 500), List.of());
    fixture.serve("/chat/x", ServingFixture.KEY);
    assertTrue(fixture.transport.last().call.moves().fetches());
    fixture.transport.last().answer(200, "");
    fixture.serve("/chat/x", ServingFixture.ISOLATED_KEY);
    BackendTransport.BackendCall isolated = fixture.transport.last().call;
    assertFalse(isolated.moves().fetches());
    assertEquals(isolated.cacheScope(), "v1-team-2");
    assertTrue(isolated.moves().saves(), "saved under its own scope");
    stores.applyChanges(address, 1, fixture.loop.millis(), Map.of("v1-team-2/a", 500), List.of());
    fixture.serve("/chat/x", ServingFixture.ISOLATED_KEY);
    assertTrue(fixture.transport.last().call.moves().fetches());
  }

  @Test
  public void anOlderConfigurationChangesNothing() {
    fixture.state.configure(ServingFixture.config(3, "other"), 3);
    fixture.state.configure(ServingFixture.config(2, "plain"), 4);
    assertEquals(fixture.state.config().version(), 3);
    RecordingSink sink = fixture.serve("/never/x");
    assertEquals(sink.log.toString(), "refused NO_BACKEND_SERVER");
  }

  /** A revoked key is refused from then on; requests in flight with it go on. */
  @Test
  public void aRevokedKeyIsRefusedAtOnce() {
    RecordingSink underWay = fixture.serve("/never/x", ServingFixture.ISOLATED_KEY);
    Team remaining = new Team("team-1", false, -1);
    fixture.state.configure(
        ServingFixture.config(2, "plain", Map.of(ServingFixture.KEY, remaining)), 2);
    RecordingSink refused = fixture.serve("/never/x", ServingFixture.ISOLATED_KEY);
    assertEquals(refused.log.toString(), "refused UNAUTHENTICATED");
    fixture.transport.last().answer(200, "hello");
    assertEquals(underWay.log.toString(), "answer 200 hello");
  }

  /** A server that asked for less load while the connection opened does not get the request. */
  @Test
  public void recalledRequestIsSentElsewhereWithoutARetry() {
    ServingFixture fresh = new ServingFixture();
    RecordingSink sink = fresh.serve("/never/x");
    for (int i = 0; i < 2; i++) {
      FakeTransport.Sent first = fresh.transport.last();
      assertTrue(first.call.mayStillSend().getAsBoolean());
      fresh.book.find(first.call.serverId()).backoff().request(1_000, fresh.loop.millis());
      fresh.book.find(first.call.serverId()).countNotice();
      assertFalse(first.call.mayStillSend().getAsBoolean());
      first.listener.notRun(NotRunReason.RECALLED, "less");
    }
    fresh.transport.last().answer(200, "hello");
    assertEquals(sink.log.toString(), "answer 200 hello");
    assertEquals(fresh.transport.sends.size(), 3);
  }
}
