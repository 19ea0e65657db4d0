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
import org.landingtrack.internal.loads.LoadNews.Vm;
import org.landingtrack.internal.serving.ManualLoop;

/** Simulated VM that shares counters with others, on one clock and without sockets. */
public final class TalliedVm {
  private static final double NEWS_LOST = 0.02;
  private static final long MOST_WAY_MS = 6;

  private final ManualLoop loop;
  private final String address;
  private final List<FleetTallies> tallies = new ArrayList<>();
  private PeerLoads peers;
  private NewsOfVm news;
  private long cutUntilMs;
  private int side;
  private long stillUntilMs;

  /** Creates a VM that knows no other VMs. */
  public TalliedVm(ManualLoop loop, int number) {
    this.loop = loop;
    this.address = "10.0." + (1 + number / 200) + "." + (1 + number % 200) + ":70";
    this.peers = new PeerLoads(loop, new Vm(address, "dc-1", 0));
    this.news = new NewsOfVm(peers);
  }

  /** Restarts the VM, which loses all its state. */
  public void restart(List<TalliedVm> all) {
    peers = new PeerLoads(loop, new Vm(address, "dc-1", 0));
    news = new NewsOfVm(peers);
    tallies.clear();
    introduce(all);
  }

  /** Adds other VMs to those that this one knows. */
  public void introduce(List<TalliedVm> all) {
    peers.introduce(all.stream().map(vm -> vm.address).toList());
  }

  public PeerLoads peers() {
    return peers;
  }

  /** Begins to share the counters of a topic. */
  public FleetTallies tally(TallyTopic topic, Supplier<List<Tally>> own) {
    FleetTallies fleetTallies = new FleetTallies(peers, loop, topic, own);
    tallies.add(fleetTallies);
    return fleetTallies;
  }

  /**
   * Partitions this VM for a time: it exchanges messages only with VMs of the same side, and with
   * none if the side is 0.
   */
  public void cut(long forMs, int ofSide) {
    cutUntilMs = loop.millis() + forMs;
    side = ofSide;
  }

  /** Suspends this VM for a time; messages that arrive meanwhile are received afterwards. */
  public void standStill(long forMs) {
    stillUntilMs = loop.millis() + forMs;
  }

  /** Returns the remaining time of the suspension. */
  public long stillMs() {
    return Math.max(0, stillUntilMs - loop.millis());
  }

  private boolean hears(TalliedVm other) {
    boolean isPartitioned = loop.millis() < Math.max(cutUntilMs, other.cutUntilMs);
    return !isPartitioned || (side != 0 && side == other.side);
  }

  /** Starts the periodic exchange of messages between VMs. */
  public static void exchangeNews(ManualLoop loop, List<TalliedVm> vms, Random random) {
    loop.schedule(PeerLoads.ROUND_MS, () -> exchangeNews(loop, vms, random));
    for (TalliedVm vm : vms) {
      if (vm.stillMs() > 0) {
        continue;
      }
      for (PeerLoads.Mail due : vm.peers.nextRound()) {
        LoadNews message =
            vm.news.next(due.kind(), List.of(), List.of(), List.of(), List.copyOf(vm.tallies));
        for (TalliedVm other : vms) {
          if (other.address.equals(due.receiver())) {
            other.receive(vm, message, random);
          }
        }
      }
    }
  }

  private void receive(TalliedVm sender, LoadNews message, Random random) {
    if (!hears(sender) || random.nextDouble() < NEWS_LOST) {
      return;
    }
    loop.schedule(
        1 + random.nextLong(MOST_WAY_MS - 1) + stillMs(),
        () -> {
          if (peers.heard(message)) {
            FleetTallies.heard(message, tallies);
          }
        });
  }
}
