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
package org.landingtrack.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.landingtrack.internal.membership.Member.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class MembershipTest {
  private static final long PERIOD_MS = 100;

  /** A simulated network of members with failed members, blocked links and random loss. */
  private static final class Network {
    private final Map<String, Membership> byAddress = new HashMap<>();
    private final Set<String> downAddresses = new HashSet<>();
    private final Set<String> blockedLinks = new HashSet<>();
    private final Random random;
    private double lossRate;
    private long nowMs;

    Network(int size, long seed) {
      random = new Random(seed);
      List<Member> all = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        all.add(new Member("vm-" + i, "dc", "r", "a" + i, State.ALIVE, 1));
      }
      for (Member self : all) {
        Membership membership =
            new Membership(self, PERIOD_MS, new SplittableRandom(seed * 31 + all.indexOf(self)));
        membership.seed(all, 0);
        byAddress.put(self.address(), membership);
      }
    }

    void run(int periods) {
      for (int i = 0; i < periods; i++) {
        nowMs += PERIOD_MS / 2;
        byAddress.forEach(
            (address, membership) -> deliver(address, membership.requestIndirectProbes()));
        nowMs += PERIOD_MS / 2;
        byAddress.forEach((address, membership) -> deliver(address, membership.tick(nowMs)));
      }
    }

    private void deliver(String from, List<Probe.Outgoing> outgoing) {
      for (Probe.Outgoing out : outgoing) {
        boolean lost =
            downAddresses.contains(from)
                || downAddresses.contains(out.address())
                || blockedLinks.contains(from + out.address())
                || random.nextDouble() < lossRate;
        if (!lost) {
          deliver(out.address(), byAddress.get(out.address()).receive(out.probe(), nowMs));
        }
      }
    }

    State stateSeenBy(int observer, int observed) {
      for (Member member : byAddress.get("a" + observer).members()) {
        if (member.vm().equals("vm-" + observed)) {
          return member.state();
        }
      }
      return State.LEFT;
    }
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{2, 1L}, {5, 2L}, {9, 3L}, {40, 4L}};
  }

  @Test(dataProvider = "sizes")
  public void allMembersDetectADeadMember(int size, long seed) {
    Network network = new Network(size, seed);
    network.run(20);
    network.downAddresses.add("a0");
    network.run(3 * size + 30);
    for (int i = 1; i < size; i++) {
      assertEquals(network.stateSeenBy(i, 0), State.DEAD, "as vm-" + i + " sees it");
    }
  }

  @Test(dataProvider = "sizes")
  public void aPausedMemberRefutesItsDeath(int size, long seed) {
    Network network = new Network(size, seed);
    network.run(20);
    network.downAddresses.add("a0");
    network.run(3 * size + 30);
    network.downAddresses.clear();
    network.run(10 * size + 60);
    for (int i = 1; i < size; i++) {
      assertEquals(network.stateSeenBy(i, 0), State.ALIVE, "as vm-" + i + " sees it");
    }
    assertTrue(network.byAddress.get("a0").self().incarnation() > 1);
  }

  /** A member that one other member cannot reach is not declared dead: others reach it. */
  @Test
  public void aBlockedLinkDoesNotCauseADeath() {
    Network network = new Network(6, 9);
    network.blockedLinks.add("a1a0");
    network.blockedLinks.add("a0a1");
    network.run(200);
    for (int i = 1; i < 6; i++) {
      assertTrue(network.stateSeenBy(i, 0) != State.DEAD, "as vm-" + i + " sees it");
    }
  }

  @Test
  public void datagramLossCausesNoPermanentDeath() {
    Network network = new Network(12, 5);
    network.lossRate = 0.1;
    network.run(300);
    network.lossRate = 0;
    network.run(150);
    for (int observer = 0; observer < 12; observer++) {
      for (int observed = 0; observed < 12; observed++) {
        assertEquals(
            network.stateSeenBy(observer, observed),
            State.ALIVE,
            "vm-" + observed + " as vm-" + observer + " sees it");
      }
    }
  }

  @Test
  public void aPartitionHeals() {
    Network network = new Network(8, 6);
    network.run(20);
    for (int a = 0; a < 4; a++) {
      for (int b = 4; b < 8; b++) {
        network.blockedLinks.add("a" + a + "a" + b);
        network.blockedLinks.add("a" + b + "a" + a);
      }
    }
    network.run(80);
    assertEquals(network.stateSeenBy(0, 7), State.DEAD);
    network.blockedLinks.clear();
    network.run(200);
    for (int observer = 0; observer < 8; observer++) {
      for (int observed = 0; observed < 8; observed++) {
        assertEquals(
            network.stateSeenBy(observer, observed),
            State.ALIVE,
            "vm-" + observed + " as vm-" + observer + " sees it");
      }
    }
  }

  @Test
  public void updatesPerDatagramAreLimited() {
    Network network = new Network(60, 7);
    network.run(30);
    for (Membership membership : network.byAddress.values()) {
      for (Probe.Outgoing out : membership.tick(network.nowMs)) {
        assertTrue(out.probe().updates().size() <= 9);
      }
    }
  }
}
