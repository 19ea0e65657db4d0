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
package org.landingtrack.internal.streams;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.GossipMessage;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ManualEventLoop;

/** VMs that exchange stream messages over a network that delays and loses datagrams. */
final class OriginVms {
  static final String SERVICE = "engines";
  private static final long LINK_MS = 2;

  final ManualEventLoop loop = new ManualEventLoop();
  final List<OriginVm> vms = new ArrayList<>();
  private final Random random;
  private final double lostShare;
  private int datagrams;
  private long bytes;
  private int largestDatagram;

  /** One VM. */
  final class OriginVm {
    final PeerLoads peers;
    final ServiceVersions versions;
    final StreamOrigins origins;
    boolean isCurrent = true;
    boolean hasEnded;
    boolean isCut;
    private long sequence = 1;

    OriginVm(int number) {
      peers = new PeerLoads(loop, new Vm("10.0.0." + number + ":70", "dc-" + number % 3, 50));
      versions = new ServiceVersions(loop);
      origins = new StreamOrigins(loop, versions, peers);
    }

    void start() {
      origins.start(this::send, listener -> listener.accept(isCurrent));
    }

    private void send(String address, byte[] message) {
      datagrams++;
      bytes += message.length;
      largestDatagram = Math.max(largestDatagram, message.length);
      if (isCut || hasEnded || random.nextDouble() < lostShare) {
        return;
      }
      for (OriginVm vm : vms) {
        if (vm.peers.address().equals(address)) {
          loop.schedule(LINK_MS, () -> vm.receive(message));
        }
      }
    }

    private void receive(byte[] message) {
      if (isCut || hasEnded) {
        return;
      }
      try {
        origins.decode(message, message.length).run();
      } catch (IOException e) {
        throw new IllegalStateException("a VM sent an invalid message", e);
      }
    }

    /** Looks an origin up; returns it, or null if it is unknown. */
    @Nullable StreamOrigin find(StreamKey key) {
      List<@Nullable StreamOrigin> found = new ArrayList<>();
      origins.find(key, SERVICE, result -> found.add(result.origin()));
      long timeoutMs = StreamOrigins.SEARCH_TIMEOUT_MS;
      if (peers.responsibleVms(key.hash(), 1).isEmpty()) {
        timeoutMs += StreamOrigins.START_TIMEOUT_MS;
      }
      for (long ms = 0; ms < timeoutMs && found.isEmpty(); ms++) {
        loop.advance(1);
      }
      if (found.size() != 1) {
        throw new AssertionError("answers to one search: " + found);
      }
      return found.get(0);
    }
  }

  OriginVms(int count, double lostShare, long seed) {
    this.lostShare = lostShare;
    this.random = new Random(seed);
    for (int i = 0; i < count; i++) {
      add();
    }
    vms.forEach(vm -> vm.versions.assumeNoEarlierStreams());
    vms.forEach(OriginVm::start);
  }

  /** Adds a VM that is not started and knows no other one. */
  OriginVm add() {
    OriginVm vm = new OriginVm(vms.size() + 1);
    vms.add(vm);
    return vm;
  }

  /** Lets all VMs in touch learn of each other and of mixed services. */
  void gossip() {
    introduce();
    for (OriginVm sender : vms) {
      for (OriginVm receiver : vms) {
        if (reaches(sender, receiver)) {
          receiver.versions.receiveReports(sender.versions.reportsToSend());
        }
      }
    }
  }

  /** Lets all VMs in touch learn of each other only. */
  void introduce() {
    for (OriginVm sender : vms) {
      for (OriginVm receiver : vms) {
        if (reaches(sender, receiver)) {
          Vm self = new Vm(sender.peers.address(), "dc", 50);
          receiver.peers.receive(
              new GossipMessage(
                  self, sender.sequence++, Kind.OWN, List.of(), List.of(), List.of()));
        }
      }
    }
  }

  private static boolean reaches(OriginVm sender, OriginVm receiver) {
    return sender != receiver && !sender.hasEnded && !sender.isCut && !receiver.isCut;
  }

  /** Lists servers of some versions at all VMs. */
  void list(String... versions) {
    for (OriginVm vm : vms) {
      list(vm, versions);
    }
  }

  void list(OriginVm vm, String... versions) {
    for (String version : versions) {
      vm.versions.recordListed(SERVICE, version, false);
    }
  }

  int datagrams() {
    return datagrams;
  }

  long bytes() {
    return bytes;
  }

  int largestDatagram() {
    return largestDatagram;
  }
}
