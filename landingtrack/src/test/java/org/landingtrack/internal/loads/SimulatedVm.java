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

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.serving.ManualEventLoop;

/** Simulated VM that shares counters with others, on one clock and without sockets. */
public final class SimulatedVm {
  private static final double MESSAGE_LOSS_RATE = 0.02;
  private static final long MAX_DELAY_MS = 6;

  private final ManualEventLoop loop;
  private final String address;
  private final List<FleetTallies> tallies = new ArrayList<>();
  private PeerLoads peers;
  private VmMessages messages;
  private long partitionedUntilMs;
  private int side;
  private long suspendedUntilMs;

  /** Creates a VM that knows no other VMs. */
  public SimulatedVm(ManualEventLoop loop, int number) {
    this.loop = loop;
    this.address = "10.0." + (1 + number / 200) + "." + (1 + number % 200) + ":70";
    this.peers = new PeerLoads(loop, new Vm(address, "dc-1", 0));
    this.messages = new VmMessages(peers);
  }

  /** Restarts the VM, which loses all its state. */
  public void restart(List<SimulatedVm> all) {
    peers = new PeerLoads(loop, new Vm(address, "dc-1", 0));
    messages = new VmMessages(peers);
    tallies.clear();
    addCandidates(all);
  }

  /** Adds other VMs to those that this one knows. */
  public void addCandidates(List<SimulatedVm> all) {
    peers.addCandidates(all.stream().map(vm -> vm.address).toList());
  }

  public PeerLoads peers() {
    return peers;
  }

  /** Begins to share the counters of a topic. */
  public FleetTallies addTallies(TallyTopic topic, Supplier<List<Tally>> own) {
    FleetTallies fleetTallies = new FleetTallies(peers, loop, topic, own);
    tallies.add(fleetTallies);
    return fleetTallies;
  }

  /**
   * Partitions this VM for a time: it exchanges messages only with VMs of the same side, and with
   * none if the side is 0.
   */
  public void partition(long forMs, int ofSide) {
    partitionedUntilMs = loop.millis() + forMs;
    side = ofSide;
  }

  /** Suspends this VM for a time; messages that arrive meanwhile are received afterwards. */
  public void suspend(long forMs) {
    suspendedUntilMs = loop.millis() + forMs;
  }

  /** Returns the remaining time of the suspension. */
  public long suspensionMs() {
    return Math.max(0, suspendedUntilMs - loop.millis());
  }

  private boolean isReachableFrom(SimulatedVm other) {
    boolean isPartitioned = loop.millis() < Math.max(partitionedUntilMs, other.partitionedUntilMs);
    return !isPartitioned || (side != 0 && side == other.side);
  }

  /** Starts the periodic exchange of messages between VMs. */
  public static void exchangeMessages(ManualEventLoop loop, List<SimulatedVm> vms, Random random) {
    loop.schedule(PeerLoads.ROUND_MS, () -> exchangeMessages(loop, vms, random));
    for (SimulatedVm vm : vms) {
      if (vm.suspensionMs() > 0) {
        continue;
      }
      for (PeerLoads.DueMessage due : vm.peers.nextRound()) {
        GossipMessage message =
            vm.messages.next(due.kind(), List.of(), List.of(), List.of(), List.copyOf(vm.tallies));
        for (SimulatedVm other : vms) {
          if (other.address.equals(due.receiver())) {
            other.receive(vm, message, random);
          }
        }
      }
    }
  }

  private void receive(SimulatedVm sender, GossipMessage message, Random random) {
    if (!isReachableFrom(sender) || random.nextDouble() < MESSAGE_LOSS_RATE) {
      return;
    }
    loop.schedule(
        1 + random.nextLong(MAX_DELAY_MS - 1) + suspensionMs(),
        () -> {
          if (peers.receive(message)) {
            FleetTallies.receive(message, tallies);
          }
        });
  }
}
