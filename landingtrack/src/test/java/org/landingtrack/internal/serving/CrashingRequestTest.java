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

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One request of one team ended ten engines in eleven seconds, and with each of them broke off one
 * to three requests of other callers.
 *
 * <p>Order of events: an engine begins the request and ends 0.1 s later; its connections close in
 * the middle of the answers, its address refuses connections, and a few seconds later it is back as
 * another start. A second later the caller sends the same path and body again, under a new id and
 * to another VM, which gives it to the next engine.
 *
 * <p>Cause: what broke off was charged to the server alone, and a request was known by its id
 * alone. Evidence: the lines of six VMs tell of ten drawing reviews of one team with 16,553 tokens
 * and ten ids, each sent to one engine, each engine gone within half a second; nothing else was
 * under way at all ten.
 */
public final class CrashingRequestTest {
  private static final String PATH = "/never/x";

  private ServingWorld world = new ServingWorld();
  private int starts;

  @BeforeMethod
  public void newVm() {
    world = new ServingWorld();
    starts = 3;
  }

  /** A server ends under all that it has, and is back as another start. */
  private void serverEnds(FakeTransport.Sent sent) {
    sent.listener.broken("the connection closed before the answer was whole");
    world.book.remove(sent.call.serverId(), 2);
    starts++;
    world.book.put(ServingWorld.plain("p" + starts, "dc-1"), 3);
    world.loop.advance(1_000);
  }

  @Test
  public void aRequestUnderWhichThreeServersEndedGetsNoFurtherServer() {
    for (int i = 0; i < 3; i++) {
      world.serve(PATH);
      serverEnds(world.transport.last());
    }
    for (int i = 0; i < 5; i++) {
      RecordingSink sink = world.serve(PATH);
      assertEquals(sink.seen.toString().startsWith("refused "), true, sink.seen.toString());
      world.loop.advance(1_000);
    }
    assertEquals(world.transport.sends.size(), 3);
  }
}
