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
package org.landingtrack.internal.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.RouteQuery.CostWeights;
import org.landingtrack.internal.routing.RouteQuery.LinkState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the selection by cost, the cost estimates, and the health and learned speed of servers. */
public final class CostPolicyTest {
  private static final PrefixChain CHAIN =
      PrefixChain.of("t", "s", "v", "x".repeat(100 * PrefixChain.BLOCK_BYTES));
  private static final LinkState FAST = new LinkState(1_000_000, Long.MAX_VALUE, 0, 1_000, 1);
  private static final CostWeights TTFT = new CostWeights(1, 0, 0);
  private static final long NOW = 10_000;

  private final CostPolicy policy = new CostPolicy(() -> new SplittableRandom(1));

  private static ServerSnapshot server(String name, long pendingTokens, double share) {
    return new ServerSnapshot(
        name, "dc", 8, "v", 0, pendingTokens, LoadReport.NONE, 0, 0.05, share);
  }

  private static RouteQuery query(
      List<ServerSnapshot> servers, List<Holder> holders, CostWeights weights, LinkState links) {
    return new RouteQuery(CHAIN, servers, holders, weights, links, 0, "dc", NOW);
  }

  @DataProvider
  public Object[][] choices() {
    List<ServerSnapshot> idle = List.of(server("a", 0, 1), server("b", 0, 1), server("c", 0, 1));
    Holder onB = new Holder("b", 100, "");
    Holder stored = new Holder("store", 100, "manifest");
    List<ServerSnapshot> busyB =
        List.of(server("a", 0, 1), server("b", 200_000, 1), server("c", 900_000, 1));
    List<ServerSnapshot> ejectedB =
        List.of(server("a", 0, 1), server("b", 0, 0), server("c", 900_000, 1));
    LinkState slow = new LinkState(1, Long.MAX_VALUE, 0, 1_000, 1);
    LinkState empty = new LinkState(1_000_000, 1_000, 0, 1_000, 1);
    CostWeights link = new CostWeights(0.001, 0.0001, 1_000);
    return new Object[][] {
      // case, servers, holders, weights, links, expected server (empty: any), restores
      {"the holder wins", idle, List.of(onB), TTFT, FAST, "b", false},
      {"a busy holder loses to a restore", busyB, List.of(onB, stored), TTFT, FAST, "a", true},
      {"a busy holder loses to computing", busyB, List.of(onB), TTFT, FAST, "a", false},
      {"an ejected holder is not a candidate", ejectedB, List.of(onB), TTFT, FAST, "a", false},
      {"a restore beats computing", idle, List.of(stored), TTFT, FAST, "", true},
      {"a slow link loses to computing", idle, List.of(stored), TTFT, slow, "", false},
      {"no restore beyond the budget", idle, List.of(stored), TTFT, empty, "", false},
      {"a high link weight prefers recomputing", idle, List.of(stored), link, FAST, "", false},
    };
  }

  @Test(dataProvider = "choices")
  public void selectsLowestCost(
      String name,
      List<ServerSnapshot> servers,
      List<Holder> holders,
      CostWeights weights,
      LinkState links,
      String server,
      boolean restores) {
    RouteOption chosen =
        policy.decide(query(servers, holders, weights, links)).chosen().orElseThrow();
    if (!server.isEmpty()) {
      assertEquals(chosen.server(), server, name + ": " + chosen.describe());
    }
    assertEquals(chosen.needsRestore(), restores, name + ": " + chosen.describe());
  }

  @DataProvider
  public Object[][] pressures() {
    return new Object[][] {
      // case, tokens queued at the holder, stored at a store VM, waiting requests per server,
      // used share of the link budget, holder selected
      {"a short queue does not justify a copy", 500, true, 0.0, 0.0, true},
      {"a long queue justifies a copy", 20_000, true, 0.0, 0.0, false},
      {"a long queue does not justify a copy while requests wait", 20_000, true, 10.0, 0.0, true},
      {
        "a long queue does not justify a copy over a nearly used-up link",
        20_000,
        true,
        0.0,
        0.99,
        true
      },
      {"a very long queue justifies recomputing", 60_000, false, 0.0, 0.0, false},
      {
        "a very long queue does not justify recomputing while requests wait",
        60_000,
        false,
        10.0,
        0.0,
        true
      },
    };
  }

  /**
   * The cost of a copy includes what it costs other requests: evicted blocks, use of the link, and
   * the engine's time to compute.
   */
  @Test(dataProvider = "pressures")
  public void costIncludesDelayOfOtherRequests(
      String name,
      int queued,
      boolean isStored,
      double waitingPerServer,
      double usedShare,
      boolean isHolderSelected) {
    List<ServerSnapshot> servers =
        List.of(server("a", 0, 1), server("b", 0, 1), server("c", 0, 1), server("d", 0, 1));
    String preferred =
        policy.decide(query(servers, List.of(), TTFT, FAST)).chosen().orElseThrow().server();
    String holder = preferred.equals("a") ? "b" : "a";
    List<ServerSnapshot> available = new ArrayList<>();
    for (ServerSnapshot server : servers) {
      boolean isHolder = server.name().equals(holder);
      // The prompt's own server by rendezvous hash is ejected, so that no copy is exempt from the
      // cost of eviction.
      available.add(
          server(server.name(), isHolder ? queued : 0, server.name().equals(preferred) ? 0 : 1));
    }
    List<Holder> holders = new ArrayList<>(List.of(new Holder(holder, 100, "")));
    if (isStored) {
      holders.add(new Holder("store", 100, "manifest"));
    }
    LinkState links = new LinkState(200_000, Long.MAX_VALUE, usedShare, 1_000, 1);
    RouteOption chosen =
        policy
            .decide(
                new RouteQuery(CHAIN, available, holders, TTFT, links, waitingPerServer, "dc", NOW))
            .chosen()
            .orElseThrow();
    assertEquals(chosen.server().equals(holder), isHolderSelected, name + ": " + chosen.describe());
  }

  /**
   * A broken link must neither keep prompts on busy engines nor lead to their rejection: evicted
   * blocks are priced no higher than recomputing them.
   */
  @Test
  public void brokenLinkPricesEvictionNoHigherThanPrefill() {
    List<ServerSnapshot> servers = List.of(server("a", 1_000_000, 1), server("b", 0, 1));
    LinkState broken = new LinkState(1, 0, 1, 1_000, 1);
    List<Holder> holders = List.of(new Holder("a", 100, ""));
    RouteOption chosen =
        policy
            .decide(new RouteQuery(CHAIN, servers, holders, TTFT, broken, 0, "dc", NOW))
            .chosen()
            .orElseThrow();
    assertEquals(chosen.server(), "b");
    assertEquals(chosen.waitingDelayMs(), 0.0);
    assertTrue(chosen.othersDelayMs() <= chosen.prefillMs(), chosen.describe());
  }

  /**
   * Requests of other gateways that are ahead in the queue delay answers; the learned speed must
   * not follow them.
   */
  @Test
  public void learnedSpeedFollowsFastestAnswers() {
    ServerState state =
        new ServerState(
            new org.landingtrack.internal.catalog.Catalog.NamedBackendServer(
                "a",
                new org.landingtrack.internal.catalog.BackendServer(
                    "s", "1.1.1.1:1", "dc", 8, true, false)));
    for (int i = 0; i < 100; i++) {
      boolean isDelayed = i % 4 != 0;
      state.recordPrefillTime(isDelayed ? 1_000 : 100, 2_000);
    }
    assertTrue(state.msPerToken() < 0.1, "ms a token: " + state.msPerToken());
    for (int i = 0; i < 100; i++) {
      state.recordPrefillTime(400, 2_000);
    }
    assertEquals(state.msPerToken(), 0.2, 0.01);
  }

  @Test
  public void promptKeepsItsServerWithoutHolders() {
    List<ServerSnapshot> servers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      servers.add(server("s" + i, 0, 1));
    }
    String first =
        policy.decide(query(servers, List.of(), TTFT, FAST)).chosen().orElseThrow().server();
    for (int i = 0; i < 20; i++) {
      RouteDecision again = policy.decide(query(servers, List.of(), TTFT, FAST));
      assertEquals(again.chosen().orElseThrow().server(), first);
    }
  }

  @Test
  public void staleReportDoesNotCountAsIdle() {
    LoadReport old = new LoadReport(0, 0, NOW - 60_000);
    ServerSnapshot stale = new ServerSnapshot("a", "dc", 8, "v", 1, 5_000, old, 0, 0.05, 1);
    assertEquals(CostModel.queueMs(stale, NOW), 5_000 * 0.05, 1e-9);
    ServerSnapshot unused = new ServerSnapshot("a", "dc", 8, "v", 0, 0, old, 0, 0.05, 1);
    assertTrue(CostModel.queueMs(unused, NOW) > 0);
  }

  @Test
  public void freshReportIsCorrectedByTokensSentSince() {
    LoadReport fresh = new LoadReport(1_000, 1, NOW - 100);
    ServerSnapshot view = new ServerSnapshot("a", "dc", 8, "v", 1, 0, fresh, 3_000, 0.05, 1);
    assertEquals(CostModel.queueMs(view, NOW), 4_000 * 0.05, 1e-9);
  }

  @Test
  public void noUsableServerYieldsNoOption() {
    RouteDecision decision =
        policy.decide(query(List.of(server("a", 0, 0)), List.of(), TTFT, FAST));
    assertTrue(decision.chosen().isEmpty());
    assertEquals(decision.rejectionReasons().size(), 1);
  }

  @Test
  public void failuresEjectAndRecoveryStartsSlowly() {
    var spec =
        new org.landingtrack.internal.catalog.BackendServer("s", "1.1.1.1:1", "dc", 8, true, false);
    ServerState state =
        new ServerState(
            new org.landingtrack.internal.catalog.Catalog.NamedBackendServer("a", spec));
    state.recordFailure(0);
    state.recordFailure(0);
    assertTrue(state.snapshot(0).isUsable());
    state.recordFailure(0);
    assertEquals(state.snapshot(999).isUsable(), false);
    assertTrue(state.snapshot(1_001).isUsable());
    assertTrue(state.snapshot(1_001).capacityShare() < 0.5, "no slow start");
    state.recordSuccess(2_000);
    assertTrue(state.snapshot(2_100).capacityShare() < 0.5, "slow start ended after one answer");
    assertEquals(state.snapshot(12_001).capacityShare(), 1.0);
  }
}
