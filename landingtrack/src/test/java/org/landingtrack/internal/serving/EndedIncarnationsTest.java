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
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.VmMessages;
import org.landingtrack.internal.serving.BackendTransport.NotRunReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that VMs learn from each other that a server ended, without a failed request on each VM.
 *
 * <p>Failure: a third of the engines crashed and came back at their addresses a second later under
 * other ids. For seconds requests were refused after two answers each from engines other than the
 * chosen ones: 1,944 of 9,992 attempts were wasted.
 *
 * <p>Cause: entries of crashed engines remain until three heartbeats are missed. Each of 74 VMs
 * learned for itself that another incarnation had the address, at the price of one attempt per
 * engine, and a request is allowed two attempts. The first request that was lost this way got two
 * answers of status 421 within 40 ms, and nothing else.
 */
public final class EndedIncarnationsTest {
  private ManualEventLoop loop = new ManualEventLoop();
  private ServingFixture finder = new ServingFixture(loop);
  private ServingFixture other = new ServingFixture(loop);
  private VmMessages news = new VmMessages(finder.peerLoads);

  @BeforeMethod
  public void createVms() {
    loop = new ManualEventLoop();
    finder = new ServingFixture(loop, new NoOpDecisionLog(), "10.0.1.1:70", 0);
    other = new ServingFixture(loop, new NoOpDecisionLog(), "10.0.1.2:70", 0);
    news = new VmMessages(finder.peerLoads);
    loop.advance(1_000);
  }

  private void exchangeReports() {
    List<FleetTallies> counted = finder.state.tallies();
    var message = news.next(Kind.OWN, List.of(), List.of(), List.of(), counted);
    if (other.peerLoads.receive(message)) {
      FleetTallies.receive(message, other.state.tallies());
    }
  }

  private String findEnded() {
    finder.serve("/chat/x");
    String ended = finder.transport.last().call.serverId();
    finder.transport.last().listener.notRun(NotRunReason.OTHER_SERVER, "answered 421");
    return ended;
  }

  @Test
  public void incarnationThatAnotherVmFoundEndedGetsNoRequest() {
    String ended = findEnded();
    exchangeReports();
    for (int i = 0; i < 20; i++) {
      other.serve("/chat/x");
      assertFalse(other.transport.last().call.serverId().equals(ended));
    }
  }

  /** The entry may be of a later incarnation than the one that the reporting VM knows. */
  @Test
  public void laterIncarnationOfServerIsUsed() {
    String ended = findEnded();
    exchangeReports();
    ServerEntry entry = ServingFixture.engine(ended, 1);
    other.book.put(entry.withStartedMs(loop.millis()), 2);
    other.book.replaceAll(List.of(entry.withStartedMs(loop.millis())), 3);
    other.serve("/chat/x");
    assertEquals(other.transport.last().call.serverId(), ended);
  }

  @Test
  public void expiredReportIsForgotten() {
    String ended = findEnded();
    exchangeReports();
    loop.advance(EndedIncarnations.REPORT_MS + 1_000);
    exchangeReports();
    other.book.replaceAll(List.of(ServingFixture.engine(ended, 1)), 2);
    other.serve("/chat/x");
    assertEquals(other.transport.last().call.serverId(), ended);
  }
}
