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
import org.landingtrack.internal.loads.LoadNews.Kind;
import org.landingtrack.internal.loads.LoadNews.Load;
import org.landingtrack.internal.loads.LoadNews.Sighting;
import org.landingtrack.internal.loads.LoadNews.Vm;
import org.landingtrack.internal.loads.PeerLoads.Mail;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exchange of load reports in a small fleet and the sums of other VMs' loads. */
public final class PeerLoadsTest {
  private static final long SERVER = 42;

  private static final Vm SELF = new Vm("self", "dc-1", 36);

  private FakeTicker ticker = new FakeTicker();
  private PeerLoads peers = new PeerLoads(ticker, SELF);

  @BeforeMethod
  public void newPeers() {
    ticker = new FakeTicker();
    ticker.pass(100_000);
    peers = new PeerLoads(ticker, SELF);
  }

  private static LoadNews news(String sender, long sequence, long tokens) {
    return news(sender, "dc-1", sequence, Kind.OWN, tokens);
  }

  private static LoadNews news(
      String sender, String dataCentre, long sequence, Kind kind, long tokens) {
    return new LoadNews(
        new Vm(sender, dataCentre, 36),
        sequence,
        kind,
        List.of(),
        List.of(new Load(SERVER, tokens, 1, 0, 0)),
        List.of());
  }

  private static Set<String> receivers(List<Mail> messages) {
    Set<String> receivers = new HashSet<>();
    messages.forEach(due -> receivers.add(due.receiver()));
    return receivers;
  }

  @Test
  public void loadsOfAllOthersAddUp() {
    peers.heard(news("a", 1, 100));
    peers.heard(news("b", 1, 50));
    peers.heard(news("self", 9, 1_000));
    assertEquals(peers.pendingTokens(SERVER), 150);
    assertEquals(peers.running(SERVER), 2);
    assertEquals(peers.running(7), 0);
  }

  @Test
  public void lateNewsChangeNothing() {
    peers.heard(news("a", 5, 100));
    peers.heard(news("a", 4, 900));
    assertEquals(peers.pendingTokens(SERVER), 100);
  }

  @Test
  public void aSenderThatStartedAnewIsBelieved() {
    peers.heard(news("a", 500, 100));
    ticker.pass(2_001);
    peers.heard(news("a", 1, 30));
    assertEquals(peers.pendingTokens(SERVER), 30);
  }

  @Test
  public void oldNewsAreNotUsed() {
    peers.heard(news("a", 1, 100));
    ticker.pass(401);
    peers.nextRound();
    assertEquals(peers.pendingTokens(SERVER), 0);
  }

  @Test
  public void vmsHearOfEachOtherThroughASeed() {
    peers.introduce(List.of("seed", "self"));
    assertEquals(receivers(peers.nextRound()), Set.of("seed"));
    List<Sighting> seen =
        List.of(new Sighting(new Vm("other", "dc-2", 36), 300), new Sighting(SELF, 10));
    peers.heard(new LoadNews(new Vm("seed", "dc-1", 36), 1, Kind.OWN, seen, List.of(), List.of()));
    Set<String> receivers = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      receivers.addAll(receivers(peers.nextRound()));
    }
    assertEquals(receivers, Set.of("seed", "other"));
    assertEquals(peers.sightings().size(), 2);
  }

  /** A VM that is down is no longer reported, however often other VMs reported it before. */
  @Test
  public void aDeadVmIsForgotten() {
    Vm down = new Vm("dead", "dc-1", 36);
    for (int second = 0; second < 70; second++) {
      List<Sighting> seen = List.of(new Sighting(down, 1_000L * second));
      peers.heard(
          new LoadNews(
              new Vm("other", "dc-1", 36), second + 1, Kind.OWN, seen, List.of(), List.of()));
      Set<String> receivers = receivers(peers.nextRound());
      assertEquals(peers.sightings().stream().anyMatch(s -> s.vm().equals(down)), second <= 20);
      assertTrue(
          second <= 60 || !receivers.contains("dead"), "a message is sent after s: " + second);
      ticker.pass(1_000);
    }
  }
}
