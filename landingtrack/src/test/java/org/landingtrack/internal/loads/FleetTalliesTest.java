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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that counters are summed over all VMs, in a mesh and through hubs. */
public final class FleetTalliesTest {
  private static final long KEY = 42;
  private static final long CONVERGENCE_ROUNDS = 100;
  private static final int DATA_CENTRES = 3;
  private static final int SEEDS = 3;

  private final FakeTicker ticker = new FakeTicker();
  private final Map<String, CountingVm> vms = new HashMap<>();
  private final Set<String> partitioned = new HashSet<>();

  /** A VM that reports counters. */
  private final class CountingVm {
    private final PeerLoads peers;
    private final VmMessages messages;
    private final FleetTallies tallies;
    private List<Tally> own = List.of();

    CountingVm(String address, String dataCentre) {
      peers = new PeerLoads(ticker, new Vm(address, dataCentre, 36));
      messages = new VmMessages(peers);
      tallies = new FleetTallies(peers, ticker, TallyTopic.SERVICES, () -> own);
    }

    void sendRound() {
      for (PeerLoads.DueMessage due : peers.nextRound()) {
        List<FleetTallies> topics = List.of(tallies);
        GossipMessage message = messages.next(due.kind(), List.of(), List.of(), List.of(), topics);
        CountingVm receiver = vms.get(due.receiver());
        boolean isDelivered =
            !partitioned.contains(due.receiver()) && !partitioned.contains(peers.address());
        if (receiver != null && isDelivered && receiver.peers.receive(message)) {
          FleetTallies.receive(message, List.of(receiver.tallies));
        }
      }
    }
  }

  private void startFleet(int size) {
    vms.clear();
    partitioned.clear();
    ticker.advance(60_000);
    List<String> addresses = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      String address = "10.0.0." + i + ":70";
      addresses.add(address);
      vms.put(address, new CountingVm(address, "dc-" + i % DATA_CENTRES));
    }
    List<String> seeds = addresses.subList(0, Math.min(size, SEEDS));
    vms.values().forEach(vm -> vm.peers.addCandidates(seeds));
  }

  private void runRounds(long count) {
    for (long round = 0; round < count; round++) {
      ticker.advance(PeerLoads.ROUND_MS);
      vms.values().forEach(CountingVm::sendRound);
    }
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1}, {2}, {7}, {12}, {13}, {30}, {74}};
  }

  @Test(dataProvider = "sizes")
  public void sumsOfOtherVmsReachEachVm(int size) {
    startFleet(size);
    vms.values().forEach(vm -> vm.own = List.of(new Tally(KEY, 3, 1)));
    runRounds(CONVERGENCE_ROUNDS);
    for (CountingVm vm : vms.values()) {
      assertEquals(vm.tallies.others(KEY).count(0), 3L * (size - 1), vm.peers.address());
      assertEquals(vm.tallies.others(KEY).count(1), size - 1, vm.peers.address());
      assertEquals(vm.tallies.others(KEY + 1).count(0), 0);
    }
  }

  @Test(dataProvider = "sizes")
  public void removedTalliesDisappearFromAllSums(int size) {
    startFleet(size);
    vms.values().forEach(vm -> vm.own = List.of(new Tally(KEY, 3)));
    runRounds(CONVERGENCE_ROUNDS);
    vms.values().forEach(vm -> vm.own = List.of());
    runRounds(10);
    vms.values().forEach(vm -> assertEquals(vm.tallies.others(KEY).count(0), 0));
  }

  @Test(dataProvider = "sizes")
  public void partitionedVmHasNoTalliesOfOthers(int size) {
    startFleet(size);
    vms.values().forEach(vm -> vm.own = List.of(new Tally(KEY, 3)));
    runRounds(CONVERGENCE_ROUNDS);
    CountingVm isolated = vms.values().iterator().next();
    partitioned.add(isolated.peers.address());
    runRounds(10);
    assertEquals(isolated.tallies.others(KEY).count(0), 0);
  }

  @Test
  public void keysWithLargestCountsAreReported() {
    startFleet(2);
    List<CountingVm> pair = List.copyOf(vms.values());
    List<Tally> many = new ArrayList<>();
    for (int i = 0; i < 3 * TallyTopic.SERVICES.maxKeys(); i++) {
      many.add(new Tally(i, i));
    }
    pair.get(0).own = many;
    runRounds(CONVERGENCE_ROUNDS);
    Map<Long, Tally> others = pair.get(1).tallies.others();
    assertEquals(others.size(), TallyTopic.SERVICES.maxKeys());
    assertTrue(others.containsKey(3L * TallyTopic.SERVICES.maxKeys() - 1));
  }
}
