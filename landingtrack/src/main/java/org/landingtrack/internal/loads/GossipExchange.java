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

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Addresses;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Sighting;
import org.landingtrack.internal.loads.PeerLoads.DueMessage;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.streams.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends and receives gossip messages over UDP: load reports, reports about part stores and
 * everything else that VMs share. Messages are received on a thread of its own and applied on the
 * event loop.
 */
public final class GossipExchange implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("loads");

  /**
   * Largest payload of a UDP datagram. A hub's message about a dozen part stores with many changes
   * has about 20 kB.
   */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  /**
   * Largest number of servers in one message. They take 2.4 kB, ten times a second, which is the
   * traffic that a VM may spend on load reports.
   */
  static final int MAX_LOADS = 90;

  /**
   * Ranks a server with a rate limit above all others: if the requests sent to it were not
   * reported, other VMs would use the same share of the limit again and exceed it.
   */
  private static final long LIMITED_WEIGHT = 1_000_000;

  private final PeerLoads peers;
  private final Supplier<List<Load>> own;
  private final PartStoreReportHandler stores;
  private final FeedReportHandler feeds;
  private final Quarantine quarantine;
  private final ReportHandler<LimitReport> limits;
  private final ReportHandler<BackoffReport> backoffs;
  private final List<FleetTallies> tallies;
  private final StreamOrigins streams;
  private final Executor loop;
  private final DatagramSocket socket;

  /**
   * Starts at the wall-clock time in milliseconds, so that a restarted process continues above the
   * numbers of the previous one.
   */
  private long sequence = Instant.now().toEpochMilli();

  private volatile boolean closed;

  /** Supplies and receives reports about part stores. Called on the event loop. */
  public interface PartStoreReportHandler {
    /**
     * Returns the reports that were new when the round began.
     *
     * @param kind the kind of the message; other hubs get only reports of stores that this VM polls
     *     itself
     */
    List<PartStoreReport> reportsToSend(Kind kind);

    /** Begins a round. Reports that arrive from now on are sent in the next one. */
    void nextRound();

    /** Applies a report of another VM. */
    void receiveReport(PartStoreReport report);
  }

  /** Supplies and receives the progress of reading the Object API. Called on the event loop. */
  public interface FeedReportHandler {
    /** Returns the progress of this VM, for each kind of objects that it reads itself. */
    List<FeedReport> reportsToSend();

    /** Applies the reports of a hub. */
    void receiveReports(String hub, List<FeedReport> reports);
  }

  /**
   * Supplies and receives reports of one type. Called on the event loop.
   *
   * @param <N> the type of report
   */
  public interface ReportHandler<N> {
    /** Returns the recent reports of this VM, from servers or from other VMs. */
    List<N> reportsToSend();

    /** Applies the reports of another VM. */
    void receiveReports(List<N> reports);
  }

  /**
   * Binds the socket to the address of this VM.
   *
   * @param peers the other VMs, their loads and the message routes
   * @param own supplies the load of this VM at each server; called on {@code loop}
   * @param stores reports about part stores
   * @param feeds progress of hubs that read the Object API
   * @param quarantine requests that were in flight at servers that crashed
   * @param limits rate limits that servers stated
   * @param serverBackoffs servers in backoff
   * @param tallies counters that VMs share, one object for each topic
   * @param streams origins of streams, whose messages arrive at the same socket
   * @param loop the event loop; runs everything that uses the other parameters
   * @throws IOException if the address cannot be bound
   */
  public GossipExchange(
      PeerLoads peers,
      Supplier<List<Load>> own,
      PartStoreReportHandler stores,
      FeedReportHandler feeds,
      Quarantine quarantine,
      ReportHandler<LimitReport> limits,
      ReportHandler<BackoffReport> serverBackoffs,
      List<FleetTallies> tallies,
      StreamOrigins streams,
      Executor loop)
      throws IOException {
    this.feeds = feeds;
    this.quarantine = quarantine;
    this.limits = limits;
    this.backoffs = serverBackoffs;
    this.tallies = List.copyOf(tallies);
    this.streams = streams;
    this.peers = peers;
    this.own = own;
    this.stores = stores;
    this.loop = loop;
    InetSocketAddress address = Addresses.parse(peers.self().address());
    this.socket = new DatagramSocket(address);
  }

  /** Starts the thread that receives messages. */
  public void start() {
    BoundedWorker.daemonThreadFactory("loads").newThread(this::receiveLoop).start();
  }

  private void receiveLoop() {
    byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
    while (!closed) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        loop.execute(decode(buffer, packet.getLength()));
      } catch (IOException e) {
        if (!closed) {
          log.debug("Cannot receive or decode a gossip message: {}.", e.toString());
        }
      } catch (Throwable e) {
        ThreadFailures.record("loads", e, "the message is dropped");
      }
    }
  }

  private Runnable decode(byte[] bytes, int length) throws IOException {
    if (StreamOrigins.isStreamMessage(bytes, length)) {
      return streams.decode(bytes, length);
    }
    GossipMessage message = GossipCodec.decode(bytes, length);
    return () -> apply(message);
  }

  private void apply(GossipMessage message) {
    boolean isLatest = peers.receive(message);
    message.stores().forEach(stores::receiveReport);
    quarantine.receive(message.suspects());
    limits.receiveReports(message.limits());
    backoffs.receiveReports(message.backoffs());
    streams.versions().receiveReports(message.mixedServices());
    if (isLatest) {
      feeds.receiveReports(message.sender().address(), message.feeds());
      FleetTallies.receive(message, tallies);
    }
  }

  /** Sends the messages of one round. Has to be called on the event loop. */
  public void sendRound() {
    List<DueMessage> due = peers.nextRound();
    stores.nextRound();
    if (due.isEmpty()) {
      return;
    }
    quarantine.nextRound();
    List<Load> loads = own.get();
    List<Sighting> sightings = peers.sightings();
    sequence++;
    Map<Kind, byte[]> byKind = new EnumMap<>(Kind.class);
    for (DueMessage message : due) {
      byte[] bytes = byKind.computeIfAbsent(message.kind(), kind -> encode(kind, loads, sightings));
      send(message.receiver(), bytes);
    }
  }

  /** Encodes the message of a kind, which is the same for all its receivers. */
  private byte[] encode(Kind kind, List<Load> own, List<Sighting> sightings) {
    List<Load> counted = peers.loadsFor(kind, own);
    List<Load> reported = largest(counted);
    try {
      return GossipCodec.encode(
          new GossipMessage(
              peers.self(),
              sequence,
              kind,
              sightings,
              reported,
              stores.reportsToSend(kind),
              kind == Kind.ALL ? feeds.reportsToSend() : List.of(),
              quarantine.currentReports(),
              limits.reportsToSend(),
              backoffs.reportsToSend(),
              FleetTallies.createReports(kind, tallies),
              streams.versions().reportsToSend()));
    } catch (IOException e) {
      throw new IllegalStateException("the gossip message of this round cannot be encoded", e);
    }
  }

  /**
   * Returns the loads to report if not all fit in a message. A server that is left out counts as
   * idle, so the servers with the least load are left out.
   */
  static List<Load> largest(List<Load> loads) {
    if (loads.size() <= MAX_LOADS) {
      return loads;
    }
    List<Load> sorted = new ArrayList<>(loads);
    sorted.sort(Comparator.comparingLong(GossipExchange::weight).reversed());
    return sorted.subList(0, MAX_LOADS);
  }

  private static long weight(Load load) {
    return load.memoryTokensInUse()
        + load.pendingTokens()
        + load.transferMs()
        + load.running()
        + load.limitedSends() * LIMITED_WEIGHT;
  }

  /** Sends a datagram to a VM. Has to be called on the event loop. */
  public void send(String receiver, byte[] bytes) {
    try {
      socket.send(new DatagramPacket(bytes, bytes.length, Addresses.parse(receiver)));
    } catch (IOException | IllegalArgumentException e) {
      // Also an address that another VM reported, and that is none.
      log.debug("Cannot send the message to {}: {}.", receiver, e.toString());
    }
  }

  @Override
  public void close() {
    closed = true;
    socket.close();
  }
}
