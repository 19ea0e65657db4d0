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
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests requests that wait for engines whose memory other VMs report as in use, and requests that
 * were sent to replaced incarnations of a server.
 */
public final class EngineWaitTest {
  private ServingFixture world = new ServingFixture();

  @BeforeMethod
  public void setUp() {
    world = new ServingFixture();
  }

  private String lastServer() {
    return world.transport.last().call.serverId();
  }

  private static Load memoryUse(String server, long tokens) {
    return new Load(Hashes.placement(server), 0, 1, 0, tokens);
  }

  /** Reports another VM's memory use, in tokens, at both engines; each has room for 10,000. */
  private void reportMemoryUse(long sequence, long atFirst, long atSecond) {
    world.peerLoads.receive(
        new GossipMessage(
            new Vm("10.0.1.2:70", "dc-1", 0),
            sequence,
            GossipMessage.Kind.OWN,
            List.of(),
            List.of(memoryUse("e1", atFirst), memoryUse("e2", atSecond)),
            List.of()));
  }

  @Test
  public void aReplacedIncarnationGetsNoRequests() {
    world.serve("/once/x");
    String replacedServer = lastServer();
    world.transport.last().listener.notRun(NotRunReason.OTHER_SERVER, "answered 421");
    for (int i = 0; i < 6; i++) {
      world.serve("/once/x");
      assertTrue(!lastServer().equals(replacedServer), "sent to a replaced incarnation");
    }
  }

  @Test
  public void requestsWaitInTheQueueWhileEnginesHaveNoMemory() {
    reportMemoryUse(1, 9_000, 9_000);
    RecordingSink sink = world.serve("/chat/x");
    assertEquals(world.transport.sends.size(), 0);
    reportMemoryUse(2, 9_000, 0);
    world.loop.advance(100);
    assertEquals(lastServer(), "e2");
    world.transport.last().startStream();
    assertEquals(sink.log.toString(), "stream 200");
  }

  @Test
  public void requestsThatTimeOutInTheQueueAreRefusedAndNotSent() {
    RecordingSink refused = new RecordingSink();
    for (int i = 1; i <= 60; i++) {
      reportMemoryUse(i, 20_000, 20_000);
      if (i == 1) {
        world.serving.serve(world.request("/chat/x", ServingFixture.KEY, 1_000), refused);
      }
      world.loop.advance(20);
    }
    assertEquals(refused.log.toString(), "refused " + ErrorKind.OVERLOADED);
    assertTrue(refused.retryAfterMs > 0);
    assertEquals(world.transport.sends.size(), 0);
  }

  /**
   * A queued request that can still meet its target is sent before a late one that came earlier.
   */
  @Test
  public void lateRequestsQueueBehindTimelyOnes() {
    reportMemoryUse(1, 11_000, 11_000);
    world.serve("/chat/x");
    for (int i = 2; i <= 15; i++) {
      world.loop.advance(20);
      reportMemoryUse(i, 11_000, 11_000);
    }
    world.loop.advance(20);
    CallerRequest timely = world.request("/once/y", ServingFixture.KEY);
    world.serving.serve(timely, new RecordingSink());
    reportMemoryUse(16, 11_000, 0);
    world.loop.advance(50);
    assertEquals(world.transport.sends.get(0).call.request().target(), "/once/y");
  }
}
