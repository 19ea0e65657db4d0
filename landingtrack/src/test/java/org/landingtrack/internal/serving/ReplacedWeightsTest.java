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

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.serving.BackendTransport.BackendCall;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.landingtrack.internal.serving.Route.RetryMode;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against answers made with weights that were replaced more than ten seconds earlier.
 *
 * <p>The failure: new weights are published, but orders to load them are lost, so some engines keep
 * the old ones for more than ten seconds. These engines are slow and under high load. A VM may use
 * them until 8 s after the publication and sends a request at 7.9 s. The engine is full, so the
 * request waits in its queue for 2.3 s and starts 10.15 s after the publication.
 *
 * <p>Cause: the ten-second bound applies to the start of the request, but was checked only when it
 * was sent, and the engine did not know of it. All VMs had learned of the new version within 35 ms,
 * and the request reached the engine 8 ms after its arrival; the engine started it 2.29 s later. In
 * each of three simulated days with different seeds, requests were sent in time; in two of them
 * some started late.
 */
public final class ReplacedWeightsTest {
  private static final long MAX_START_MS = 10_000;
  private static final long LAST_SEND_MS = 7_900;
  private static final long DEADLINE_MS = 12_000;
  private ServingFixture world;
  private RecordingSink sink = new RecordingSink();

  @BeforeMethod
  public void setUp() {
    world = new ServingFixture();
    world.state.configure(config(), 2);
  }

  private static ServingConfig config() {
    return new ServingConfig(
        2,
        List.of(route("/resumed/", RetryMode.RESUME), route("/once/", RetryMode.NEVER)),
        Map.of(
            "engines",
            new ServiceInfo("engines", "/health", 100, new EngineInfo(8, 10_000, 18_432, 100_000))),
        ApiKeys.required(Map.of(ServingFixture.KEY, new Team("team-1", false, -1))),
        CallerLimits.DEFAULT,
        List.of());
  }

  private static Route route(String prefix, RetryMode repeat) {
    return new Route(
        prefix,
        "host",
        prefix,
        repeat,
        true,
        List.of(new Route.Target("engines", 1)),
        1,
        DEADLINE_MS,
        300,
        2,
        false,
        300);
  }

  private BackendCall sendAtLastMoment(String path) {
    world.nameWeights(2);
    world.loop.advance(LAST_SEND_MS);
    return send(path);
  }

  private BackendCall send(String path) {
    CallerRequest request =
        new CallerRequest(
            "id-1",
            "POST",
            "host",
            path,
            List.of(),
            new byte[0],
            DEADLINE_MS,
            ServingFixture.KEY,
            new Prompt(ServingFixture.MODEL, 10, List.of(new Prompt.Part("own", 100))),
            null,
            world.loop.millis());
    sink = new RecordingSink();
    world.serving.serve(request, sink);
    return world.transport.last().call;
  }

  /** Returns true if a server that takes a request from its queue only now would still start it. */
  private boolean canStart(FakeTransport.Sent sent, long sentMs) {
    return !sent.cancelled && world.loop.millis() - sentMs < sent.call.leftMs();
  }

  @Test
  public void noRequestStartsOnReplacedWeightsAfterTheBound() {
    for (String path : List.of("/resumed/x", "/once/x")) {
      setUp();
      BackendCall call = sendAtLastMoment(path);
      assertEquals(call.weightVersion(), OptionalLong.of(1));
      FakeTransport.Sent sent = world.transport.last();
      long sentMs = world.loop.millis();
      world.loop.advance(MAX_START_MS - LAST_SEND_MS);
      assertFalse(canStart(sent, sentMs), path);
    }
  }

  /**
   * Each newer version has its own bound; that of the first one newer than the engine's applies.
   */
  @Test
  public void theFirstNewerVersionSetsTheBound() {
    world.nameWeights(2);
    world.loop.advance(4_000);
    world.nameWeights(3);
    world.loop.advance(LAST_SEND_MS - 4_000);
    assertEquals(send("/once/x").weightVersion(), OptionalLong.of(1));
    FakeTransport.Sent sent = world.transport.last();
    long sentMs = world.loop.millis();
    world.loop.advance(MAX_START_MS - LAST_SEND_MS);
    assertFalse(canStart(sent, sentMs));
  }

  /**
   * Guards against ending streams that started in time at the bound: an engine stops a request at
   * the end of the time that it is given. This cut 122 streams in one simulated day of slow
   * engines.
   */
  @Test
  public void streamsThatStartedInTimeContinue() {
    BackendCall call = sendAtLastMoment("/once/x");
    assertEquals(call.leftMs(), DEADLINE_MS);
    FakeTransport.Sent sent = world.transport.last();
    world.loop.advance(500);
    sent.startStream();
    world.loop.advance(8_000);
    assertFalse(sent.cancelled);
    assertEquals(world.transport.sends.size(), 1);
  }

  /**
   * The engine may have started the request at the bound, so only a request that may be repeated is
   * retried, at an engine with the new weights.
   */
  @Test
  public void repeatableRequestsThatDidNotStartGoToTheNewWeights() {
    sendAtLastMoment("/resumed/x");
    world.book.put(ServingFixture.engine("e1", 2), 3);
    world.book.put(ServingFixture.engine("e2", 2), 3);
    world.loop.advance(MAX_START_MS - LAST_SEND_MS);
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(world.transport.last().call.weightVersion(), OptionalLong.of(2));
  }

  @Test
  public void otherRequestsThatDidNotStartAreNotRepeated() {
    sendAtLastMoment("/once/x");
    world.loop.advance(MAX_START_MS - LAST_SEND_MS);
    assertEquals(world.transport.sends.size(), 1);
    assertEquals(sink.log.toString(), "refused " + ErrorKind.OUTCOME_UNKNOWN);
  }

  /**
   * Guards against treating a refusal as proof of the new weights. No engine has loaded them at the
   * bound, so each request asks an engine for the new version and is refused. From then on that
   * engine was taken to have them, even after others had loaded them.
   */
  @Test
  public void aRefusalDoesNotMarkAnEngineAsUpdated() {
    world.nameWeights(2);
    world.loop.advance(MAX_START_MS);
    String first = "";
    for (int i = 0; i < 4; i++) {
      int before = world.transport.sends.size();
      assertEquals(send("/once/x").weightVersion(), OptionalLong.of(2));
      first = first.isEmpty() ? world.transport.last().call.serverId() : first;
      // A refusal is followed by one more attempt.
      for (int sent = before; sent < world.transport.sends.size(); sent++) {
        world.transport.sends.get(sent).listener.notRun(NotRunReason.OTHER_VERSION, "answered 421");
      }
      world.loop.advance(500);
    }
    String other = first.equals("e1") ? "e2" : "e1";
    world.book.put(ServingFixture.engine(other, 2), 4);
    for (int i = 0; i < 8; i++) {
      assertEquals(send("/once/x").serverId(), other);
      world.transport.last().startStream();
      world.transport.last().listener.completed(new byte[0]);
    }
  }

  /** An engine is not ejected because it had replaced weights. */
  @Test
  public void anEngineWithReplacedWeightsIsNotEjected() {
    world.book.remove("e2", 3);
    world.nameWeights(2);
    world.loop.advance(LAST_SEND_MS);
    for (int i = 0; i < 5; i++) {
      send("/once/x");
    }
    world.book.put(ServingFixture.engine("e1", 2), 4);
    world.loop.advance(MAX_START_MS - LAST_SEND_MS);
    world.book.put(ServingFixture.engine("e2", 2), 5);
    Backend abandoned = world.book.find("e1");
    assertFalse(abandoned == null || abandoned.isEjected(world.loop.millis()));
  }

  @Test
  public void requestsOnTheNewestWeightsHaveNoStartBound() {
    world.nameWeights(2);
    world.book.put(ServingFixture.engine("e1", 2), 3);
    world.book.put(ServingFixture.engine("e2", 2), 3);
    world.loop.advance(LAST_SEND_MS);
    assertEquals(send("/once/x").leftMs(), DEADLINE_MS);
    world.loop.advance(5_000);
    assertFalse(world.transport.last().cancelled);
  }
}
