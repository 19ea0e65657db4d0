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

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.serving.ManualEventLoop;
import org.landingtrack.internal.streams.ServiceVersions;
import org.landingtrack.internal.streams.StreamOrigins;
import org.testng.annotations.Test;

/** Tests the exchange of gossip messages over real UDP sockets. */
public final class GossipExchangeTest {
  private static final long MAX_WAIT_S = 20;
  private static final long POLL_INTERVAL_MS = 5;
  private static final long SERVER = 42;
  private static final GossipExchange.PartStoreReportHandler NO_STORES =
      new GossipExchange.PartStoreReportHandler() {
        @Override
        public List<PartStoreReport> reportsToSend(Kind kind) {
          return List.of();
        }

        @Override
        public void nextRound() {}

        @Override
        public void receiveReport(PartStoreReport report) {}
      };

  private static final GossipExchange.FeedReportHandler NO_FEEDS =
      new GossipExchange.FeedReportHandler() {
        @Override
        public List<FeedReport> reportsToSend() {
          return List.of();
        }

        @Override
        public void receiveReports(String hub, List<FeedReport> reports) {}
      };

  private static <N> GossipExchange.ReportHandler<N> noReports() {
    return new GossipExchange.ReportHandler<>() {
      @Override
      public List<N> reportsToSend() {
        return List.of();
      }

      @Override
      public void receiveReports(List<N> reports) {}
    };
  }

  private final Object loop = new Object();
  private final FakeTicker ticker = new FakeTicker();

  private static Vm vm() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return new Vm("127.0.0.1:" + socket.getLocalPort(), "dc-1", 36);
    }
  }

  private GossipExchange exchange(PeerLoads peers, int running) throws Exception {
    GossipExchange exchange = bind(peers, () -> List.of(new Load(SERVER, 0, running, 0, 0)));
    exchange.start();
    return exchange;
  }

  /**
   * Binds an exchange, with retries: a closed socket keeps its address until the thread that
   * received from it ends.
   */
  private GossipExchange bind(PeerLoads peers, Supplier<List<Load>> own) throws Exception {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
    while (true) {
      try {
        return new GossipExchange(
            peers,
            own,
            NO_STORES,
            NO_FEEDS,
            new Quarantine(ticker),
            noReports(),
            noReports(),
            List.of(),
            noStreams(peers),
            this::onLoop);
      } catch (BindException e) {
        if (System.nanoTime() > endNs) {
          throw e;
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  private static StreamOrigins noStreams(PeerLoads peers) {
    ManualEventLoop loop = new ManualEventLoop();
    return new StreamOrigins(loop, new ServiceVersions(loop), peers);
  }

  private void onLoop(Runnable task) {
    synchronized (loop) {
      task.run();
    }
  }

  private boolean isReportReceived(GossipExchange sender, PeerLoads receiver, int running)
      throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
    while (System.nanoTime() < endNs) {
      synchronized (loop) {
        sender.sendRound();
      }
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      synchronized (loop) {
        if (receiver.running(SERVER) == running) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * A message that has no room for all servers has to report those with the most load. If the
   * choice is arbitrary, some loaded engines seem idle to all VMs permanently.
   */
  @Test
  public void largestLoadsAreReportedIfNotAllFit() {
    List<Load> loads = new ArrayList<>();
    int count = 3 * GossipExchange.MAX_LOADS;
    for (int i = 0; i < count; i++) {
      loads.add(new Load(i, 100L * (i % 3), 1, 0, 50L * i));
    }
    List<Load> reported = GossipExchange.largest(loads);
    assertEquals(reported.size(), GossipExchange.MAX_LOADS);
    for (Load load : reported) {
      assertTrue(load.server() >= count - GossipExchange.MAX_LOADS - 4, load.toString());
    }
    List<Load> few = loads.subList(0, 10);
    assertEquals(GossipExchange.largest(few), few);
  }

  /**
   * Reports of a restarted process are used at once, not only when its old reports have expired.
   */
  @Test
  public void restartedProcessIsReceivedAtOnce() throws Exception {
    ticker.advance(100_000);
    Vm first = vm();
    Vm second = vm();
    PeerLoads receiver = new PeerLoads(ticker, first);
    try (GossipExchange receiving = exchange(receiver, 0)) {
      PeerLoads previous = new PeerLoads(ticker, second);
      previous.addCandidates(List.of(first.address()));
      try (GossipExchange sender = exchange(previous, 7)) {
        assertTrue(isReportReceived(sender, receiver, 7));
      }
      PeerLoads restarted = new PeerLoads(ticker, second);
      restarted.addCandidates(List.of(first.address()));
      try (GossipExchange sender = exchange(restarted, 3)) {
        synchronized (loop) {
          sender.sendRound();
        }
        // One message only: later ones would exceed the sequence numbers of the previous process.
        assertTrue(isReportReceived(receiving, receiver, 3));
      }
    }
  }

  /**
   * Guards against rounds that end at the address of one VM, so that no later one gets a message.
   */
  @Test
  public void oddAddressOfOneVmCostsOnlyItsMessages() throws Exception {
    ticker.advance(100_000);
    Vm first = vm();
    PeerLoads receiver = new PeerLoads(ticker, first);
    try (GossipExchange receiving = exchange(receiver, 0)) {
      PeerLoads peers = new PeerLoads(ticker, vm());
      peers.addCandidates(
          List.of("", "no address", "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1"));
      peers.addCandidates(List.of(first.address()));
      try (GossipExchange sender = exchange(peers, 7)) {
        assertTrue(isReportReceived(sender, receiver, 7));
        assertTrue(isReportReceived(receiving, receiver, 7));
      }
    }
  }
}
