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
import org.landingtrack.internal.loads.LoadNews.Load;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public final class PeerLoadsTest {
  private static final long SERVER = 42;

  private FakeTicker ticker = new FakeTicker();
  private PeerLoads peers = new PeerLoads(ticker, "self");

  @BeforeMethod
  public void newPeers() {
    ticker = new FakeTicker();
    ticker.pass(100_000);
    peers = new PeerLoads(ticker, "self");
  }

  private static LoadNews news(String sender, long sequence, long tokens) {
    return new LoadNews(sender, sequence, List.of(), List.of(new Load(SERVER, tokens, 1)));
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
    assertEquals(peers.nextRound(), List.of("seed"));
    peers.heard(new LoadNews("seed", 1, List.of("other", "self"), List.of()));
    Set<String> told = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      told.addAll(peers.nextRound());
    }
    assertEquals(told, Set.of("seed", "other"));
    assertEquals(peers.lately(), List.of("seed"));
  }

  @Test
  public void manyVmsTakeTurns() {
    for (int i = 0; i < 60; i++) {
      peers.heard(news("vm-" + i, 1, 1));
    }
    Set<String> told = new HashSet<>();
    for (int i = 0; i < 8; i++) {
      List<String> round = peers.nextRound();
      assertTrue(round.size() <= PeerLoads.PEERS_A_ROUND, "too many: " + round.size());
      told.addAll(round);
    }
    assertEquals(told.size(), 60);
  }
}
