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
import org.landingtrack.internal.serving.Route.Repeat;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Callers got answers made on weights that had been replaced more than ten seconds before.
 *
 * <p>Order of events: new weights are named; orders to load them get lost, so some engines keep the
 * old ones for more than ten seconds; these engines are slow, and many callers come at once. Until
 * 8 s after the naming a VM may still use them, and sends a request at 7.9 s. The engine is full:
 * the request waits in its queue for 2.3 s and begins there, 10.15 s after the naming.
 *
 * <p>Cause: the bound was checked when the request was sent, and it is promised for when it begins;
 * nothing told the engine of it. Evidence: all VMs had heard of the naming within 35 ms; the
 * request reached the engine 8 ms after it had come; the engine began it 2.29 s later. Three of
 * three plays of such a day with another seed each sent requests in time that began late in two.
 */
public final class ReplacedWeightsTest {
  private static final long NAMED_TO_BEGIN_MS = 10_000;
  private static final long LAST_SEND_MS = 7_900;
  private static final long DEADLINE_MS = 12_000;
  private ServingWorld world;
  private RecordingSink sink = new RecordingSink();

  @BeforeMethod
  public void newWorld() {
    world = new ServingWorld();
    world.state.configure(config(), 2);
  }

  private static ServingConfig config() {
    return new ServingConfig(
        2,
        List.of(route("/resumed/", Repeat.RESUME), route("/once/", Repeat.NEVER)),
        Map.of(
            "engines",
            new ServiceInfo("engines", "/health", 100, new EngineInfo(8, 10_000, 18_432, 100_000))),
        Map.of(ServingWorld.KEY, new Team("team-1", false, -1)),
        CallerLimits.DEFAULT,
        List.of());
  }

  private static Route route(String prefix, Repeat repeat) {
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

  private BackendCall sendAtLast(String path) {
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
            ServingWorld.KEY,
            new Prompt(ServingWorld.MODEL, 10, List.of(new Prompt.Part("own", 100))),
            null,
            world.loop.millis());
    sink = new RecordingSink();
    world.serving.serve(request, sink);
    return world.transport.last().call;
  }

  /** Returns true if a server that gets round to a request only now would still begin it. */
  private boolean mayBegin(FakeTransport.Sent sent, long sentMs) {
    return !sent.cancelled && world.loop.millis() - sentMs < sent.call.leftMs();
  }

  @Test
  public void anEngineDoesNotBeginOnReplacedWeightsHoweverLongTheRequestWaitsThere() {
    for (String path : List.of("/resumed/x", "/once/x")) {
      newWorld();
      BackendCall call = sendAtLast(path);
      assertEquals(call.weightVersion(), OptionalLong.of(1));
      FakeTransport.Sent sent = world.transport.last();
      long sentMs = world.loop.millis();
      world.loop.advance(NAMED_TO_BEGIN_MS - LAST_SEND_MS);
      assertFalse(mayBegin(sent, sentMs), path);
    }
  }

  /** Each newer version has its own bound: the first that replaced an engine's weights counts. */
  @Test
  public void theFirstNewerVersionBounds() {
    world.nameWeights(2);
    world.loop.advance(4_000);
    world.nameWeights(3);
    world.loop.advance(LAST_SEND_MS - 4_000);
    assertEquals(send("/once/x").weightVersion(), OptionalLong.of(1));
    FakeTransport.Sent sent = world.transport.last();
    long sentMs = world.loop.millis();
    world.loop.advance(NAMED_TO_BEGIN_MS - LAST_SEND_MS);
    assertFalse(mayBegin(sent, sentMs));
  }

  /**
   * Streams that had begun in time were cut when the bound came, as an engine stops at the end of
   * the time that it is given: 122 in a day of slow engines.
   */
  @Test
  public void whatBeganInTimeGoesOn() {
    BackendCall call = sendAtLast("/once/x");
    assertEquals(call.leftMs(), DEADLINE_MS);
    FakeTransport.Sent sent = world.transport.last();
    world.loop.advance(500);
    sent.startStream();
    world.loop.advance(8_000);
    assertFalse(sent.cancelled);
    assertEquals(world.transport.sends.size(), 1);
  }

  /** What may be sent again goes to the new weights; it may have begun just then. */
  @Test
  public void whatDidNotBeginInTimeGoesToTheNewWeightsIfItMayBeSentAgain() {
    sendAtLast("/resumed/x");
    world.book.put(ServingWorld.engine("e1", 2), 3);
    world.book.put(ServingWorld.engine("e2", 2), 3);
    world.loop.advance(NAMED_TO_BEGIN_MS - LAST_SEND_MS);
    assertEquals(world.transport.sends.size(), 2);
    assertEquals(world.transport.last().call.weightVersion(), OptionalLong.of(2));
  }

  @Test
  public void whatDidNotBeginInTimeAndMayRunOnceIsNotSentAgain() {
    sendAtLast("/once/x");
    world.loop.advance(NAMED_TO_BEGIN_MS - LAST_SEND_MS);
    assertEquals(world.transport.sends.size(), 1);
    assertEquals(sink.seen.toString(), "refused " + ErrorKind.OUTCOME_UNKNOWN);
  }

  /**
   * No engine had loaded the new weights when the bound came. Each request asked one for them, was
   * refused, and took that engine to have them from then on, also when others had loaded.
   */
  @Test
  public void anEngineThatLacksTheNewWeightsIsNotTakenToHaveThem() {
    world.nameWeights(2);
    world.loop.advance(NAMED_TO_BEGIN_MS);
    String first = "";
    for (int i = 0; i < 4; i++) {
      int before = world.transport.sends.size();
      assertEquals(send("/once/x").weightVersion(), OptionalLong.of(2));
      first = first.isEmpty() ? world.transport.last().call.serverId() : first;
      // A refusal is followed by one more send.
      for (int sent = before; sent < world.transport.sends.size(); sent++) {
        world.transport.sends.get(sent).listener.notRun(NotRunReason.OTHER_VERSION, "answered 421");
      }
      world.loop.advance(500);
    }
    String other = first.equals("e1") ? "e2" : "e1";
    world.book.put(ServingWorld.engine(other, 2), 4);
    for (int i = 0; i < 8; i++) {
      assertEquals(send("/once/x").serverId(), other);
      world.transport.last().startStream();
      world.transport.last().listener.ended(new byte[0]);
    }
  }

  /** An engine is not passed over for having had replaced weights. */
  @Test
  public void anEngineThatWasLeftIsNotEjected() {
    world.book.remove("e2", 3);
    world.nameWeights(2);
    world.loop.advance(LAST_SEND_MS);
    for (int i = 0; i < 5; i++) {
      send("/once/x");
    }
    world.book.put(ServingWorld.engine("e1", 2), 4);
    world.loop.advance(NAMED_TO_BEGIN_MS - LAST_SEND_MS);
    world.book.put(ServingWorld.engine("e2", 2), 5);
    Backend left = world.book.find("e1");
    assertFalse(left == null || left.isEjected(world.loop.millis()));
  }

  @Test
  public void onTheNewestWeightsARequestMayBeginAtAnyTime() {
    world.nameWeights(2);
    world.book.put(ServingWorld.engine("e1", 2), 3);
    world.book.put(ServingWorld.engine("e2", 2), 3);
    world.loop.advance(LAST_SEND_MS);
    assertEquals(send("/once/x").leftMs(), DEADLINE_MS);
    world.loop.advance(5_000);
    assertFalse(world.transport.last().cancelled);
  }
}
