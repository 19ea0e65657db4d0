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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads.DueMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests large fleets of VMs that exchange load reports, also with message loss. */
public final class FleetTest {
  private static final long SERVER = 42;
  private static final int CONVERGENCE_ROUNDS = 130;

  private FakeTicker ticker = new FakeTicker();
  private final Map<String, Member> members = new HashMap<>();
  private final Random random = new Random(5);
  private double lossShare;
  private int messages;
  private int acrossDataCentres;

  private static final class Member {
    final Vm vm;
    final PeerLoads loads;
    boolean alive = true;
    long sequence;

    Member(Vm vm, PeerLoads loads) {
      this.vm = vm;
      this.loads = loads;
    }
  }

  @BeforeMethod
  public void setUp() {
    ticker = new FakeTicker();
    ticker.advance(100_000);
    members.clear();
    lossShare = 0;
  }

  private void start(int count, int dataCentres) {
    for (int i = 0; i < count; i++) {
      Vm vm = new Vm("vm-" + i, "dc-" + i % dataCentres, i < 12 ? 150 : 36);
      PeerLoads loads = new PeerLoads(ticker, vm);
      loads.addCandidates(List.of("vm-0", "vm-1", "vm-2"));
      members.put(vm.address(), new Member(vm, loads));
    }
  }

  private void runRounds(int count) {
    for (int i = 0; i < count; i++) {
      ticker.advance(PeerLoads.ROUND_MS);
      messages = 0;
      acrossDataCentres = 0;
      for (Member member : new ArrayList<>(members.values())) {
        if (member.alive) {
          sendRound(member);
        }
      }
    }
  }

  private void sendRound(Member member) {
    List<Load> own = List.of(new Load(SERVER, 10, 1, 0, 0));
    member.sequence++;
    for (DueMessage due : member.loads.nextRound()) {
      messages++;
      Member receiver = members.get(due.receiver());
      if (receiver == null || !receiver.alive || random.nextDouble() < lossShare) {
        continue;
      }
      acrossDataCentres += receiver.vm.dataCentre().equals(member.vm.dataCentre()) ? 0 : 1;
      receiver.loads.receive(
          new GossipMessage(
              member.vm,
              member.sequence,
              due.kind(),
              member.loads.sightings(),
              member.loads.loadsFor(due.kind(), own),
              List.of()));
    }
  }

  private long alive() {
    return members.values().stream().filter(member -> member.alive).count();
  }

  /** Returns numbers of VMs and data centres. */
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{7, 3}, {12, 3}, {13, 3}, {30, 1}, {59, 3}, {91, 4}, {200, 3}};
  }

  @Test(dataProvider = "sizes")
  public void loadOfOtherVmsReachesEachVm(int count, int dataCentres) {
    start(count, dataCentres);
    runRounds(CONVERGENCE_ROUNDS);
    for (Member member : members.values()) {
      assertEquals(member.loads.running(SERVER), count - 1, member.vm.toString());
      assertEquals(member.loads.pendingTokens(SERVER), 10L * (count - 1));
    }
    if (count > Fleet.MAX_MESH_VMS) {
      assertTrue(hubsAreStrong(), "a VM of low strength is a hub");
    }
    assertTrue(
        messages <= count * (count <= Fleet.MAX_MESH_VMS ? 8 : 5),
        "messages in a round: " + messages);
    assertTrue(
        count <= Fleet.MAX_MESH_VMS || acrossDataCentres <= 4 * count,
        "messages between data centres: " + acrossDataCentres);
  }

  private boolean hubsAreStrong() {
    for (Member member : members.values()) {
      if (member.loads.isHub() && member.vm.strength() < 150) {
        return false;
      }
    }
    return true;
  }

  /** At most a dozen VMs poll a part store at once, and at least one in each data centre does. */
  @Test(dataProvider = "sizes")
  public void fewVmsPollPartStores(int count, int dataCentres) {
    start(count, dataCentres);
    runRounds(CONVERGENCE_ROUNDS);
    Set<String> served = new HashSet<>();
    int polling = 0;
    for (Member member : members.values()) {
      if (member.loads.pollsPartStores()) {
        polling++;
        served.add(member.vm.dataCentre());
      }
    }
    assertTrue(polling <= Fleet.MAX_MESH_VMS, "polling VMs: " + polling);
    assertEquals(served.size(), dataCentres);
  }

  /**
   * A VM that starts in a large fleet must not poll part stores before it knows the other VMs.
   * Otherwise it takes the fleet for a small one, opens a connection and a thread for each store
   * and closes them half a second later.
   */
  @Test
  public void joiningVmDoesNotPollPartStores() {
    start(79, 3);
    runRounds(CONVERGENCE_ROUNDS);
    Vm vm = new Vm("vm-new", "dc-1", 36);
    PeerLoads joining = new PeerLoads(ticker, vm);
    joining.addCandidates(List.of("vm-0", "vm-1", "vm-2"));
    members.put(vm.address(), new Member(vm, joining));
    for (int round = 0; round < CONVERGENCE_ROUNDS; round++) {
      runRounds(1);
      assertFalse(joining.pollsPartStores(), "round " + round);
    }
  }

  /** A VM that receives no messages of others polls the stores itself. */
  @Test
  public void singleVmPollsPartStores() {
    start(1, 1);
    runRounds(PeerLoads.DISCOVERY_ROUNDS + 1);
    assertTrue(members.get("vm-0").loads.pollsPartStores());
  }

  /** All hubs fail at once; after 1.5 s the other VMs have chosen new ones. */
  @Test
  public void failedHubsAreReplaced() {
    start(59, 3);
    runRounds(CONVERGENCE_ROUNDS);
    int hubs = 0;
    for (Member member : members.values()) {
      if (member.loads.isHub()) {
        member.alive = false;
        hubs++;
      }
    }
    assertTrue(hubs >= 3, "hubs: " + hubs);
    runRounds(15);
    for (Member member : members.values()) {
      if (member.alive) {
        assertEquals(member.loads.running(SERVER), alive() - 1, member.vm.toString());
      }
    }
  }

  @Test
  public void messageLossHasLittleEffect() {
    start(59, 3);
    runRounds(CONVERGENCE_ROUNDS);
    lossShare = 0.05;
    long sum = 0;
    int samples = 0;
    for (int i = 0; i < 50; i++) {
      runRounds(1);
      for (Member member : members.values()) {
        sum += member.loads.running(SERVER);
        samples++;
      }
    }
    double mean = (double) sum / samples;
    assertTrue(mean > 0.95 * 58 && mean < 1.05 * 58, "mean of 58: " + mean);
  }

  /** A VM that starts at a new address knows only the seeds, one of which is down. */
  @Test
  public void newVmFindsItsHub() {
    start(59, 3);
    runRounds(CONVERGENCE_ROUNDS);
    members.get("vm-0").alive = false;
    Vm vm = new Vm("new", "dc-1", 36);
    PeerLoads loads = new PeerLoads(ticker, vm);
    loads.addCandidates(List.of("vm-0", "vm-1", "vm-2"));
    members.put("new", new Member(vm, loads));
    runRounds(CONVERGENCE_ROUNDS);
    assertEquals(loads.running(SERVER), alive() - 1);
    assertEquals(members.get("vm-1").loads.running(SERVER), alive() - 1);
  }
}
