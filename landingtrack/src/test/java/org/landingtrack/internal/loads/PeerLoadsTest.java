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
package org.landingtrack.internal.loads;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Sighting;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads.DueMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exchange of load reports in a small fleet and the sums of other VMs' loads. */
public final class PeerLoadsTest {
  private static final long SERVER = 42;

  private static final Vm SELF = new Vm("self", "dc-1", 36);

  private FakeTicker ticker = new FakeTicker();
  private PeerLoads peers = new PeerLoads(ticker, SELF);

  @BeforeMethod
  public void setUp() {
    ticker = new FakeTicker();
    ticker.advance(100_000);
    peers = new PeerLoads(ticker, SELF);
  }

  private static GossipMessage message(String sender, long sequence, long tokens) {
    return message(sender, "dc-1", sequence, Kind.OWN, tokens);
  }

  private static GossipMessage message(
      String sender, String dataCentre, long sequence, Kind kind, long tokens) {
    return new GossipMessage(
        new Vm(sender, dataCentre, 36),
        sequence,
        kind,
        List.of(),
        List.of(new Load(SERVER, tokens, 1, 0, 0)),
        List.of());
  }

  private static Set<String> receivers(List<DueMessage> messages) {
    Set<String> receivers = new HashSet<>();
    messages.forEach(due -> receivers.add(due.receiver()));
    return receivers;
  }

  @Test
  public void loadsOfOtherVmsAreSummed() {
    peers.receive(message("a", 1, 100));
    peers.receive(message("b", 1, 50));
    peers.receive(message("self", 9, 1_000));
    assertEquals(peers.pendingTokens(SERVER), 150);
    assertEquals(peers.running(SERVER), 2);
    assertEquals(peers.running(7), 0);
  }

  @Test
  public void outOfOrderMessageIsIgnored() {
    peers.receive(message("a", 5, 100));
    peers.receive(message("a", 4, 900));
    assertEquals(peers.pendingTokens(SERVER), 100);
  }

  @Test
  public void restartedSenderIsAccepted() {
    peers.receive(message("a", 500, 100));
    ticker.advance(2_001);
    peers.receive(message("a", 1, 30));
    assertEquals(peers.pendingTokens(SERVER), 30);
  }

  @Test
  public void expiredReportIsNotUsed() {
    peers.receive(message("a", 1, 100));
    ticker.advance(401);
    peers.nextRound();
    assertEquals(peers.pendingTokens(SERVER), 0);
  }

  @Test
  public void vmsDiscoverEachOtherThroughSeed() {
    peers.addCandidates(List.of("seed", "self"));
    assertEquals(receivers(peers.nextRound()), Set.of("seed"));
    List<Sighting> seen =
        List.of(new Sighting(new Vm("other", "dc-2", 36), 300), new Sighting(SELF, 10));
    peers.receive(
        new GossipMessage(new Vm("seed", "dc-1", 36), 1, Kind.OWN, seen, List.of(), List.of()));
    Set<String> receivers = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      receivers.addAll(receivers(peers.nextRound()));
    }
    assertEquals(receivers, Set.of("seed", "other"));
    assertEquals(peers.sightings().size(), 2);
  }

  /** A VM that is down is no longer reported, however often other VMs reported it before. */
  @Test
  public void inactiveVmIsRemoved() {
    Vm down = new Vm("dead", "dc-1", 36);
    for (int second = 0; second < 70; second++) {
      List<Sighting> seen = List.of(new Sighting(down, 1_000L * second));
      peers.receive(
          new GossipMessage(
              new Vm("other", "dc-1", 36), second + 1, Kind.OWN, seen, List.of(), List.of()));
      Set<String> receivers = receivers(peers.nextRound());
      assertEquals(peers.sightings().stream().anyMatch(s -> s.vm().equals(down)), second <= 20);
      assertTrue(
          second <= 60 || !receivers.contains("dead"), "a message is sent after s: " + second);
      ticker.advance(1_000);
    }
  }
}
