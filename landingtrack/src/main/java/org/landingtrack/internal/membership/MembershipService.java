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

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Addresses;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.MessagePack;
import org.landingtrack.internal.base.ThreadFailures;
import org.landingtrack.internal.base.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs {@link Membership} over UDP, with one thread for the timer and one for received datagrams.
 * Thread-safe.
 */
public final class MembershipService implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("membership");
  private static final int MAX_DATAGRAM_BYTES = 8_192;

  private final Membership membership;
  private final DatagramSocket socket;
  private final BoundedWorker duty;
  private final Ticker ticker;
  private boolean secondHalf;

  /**
   * Opens the UDP port and starts probing.
   *
   * @param periodMs time between two probes, in milliseconds
   * @throws LandingtrackException if the port cannot be opened
   */
  public MembershipService(
      Membership membership, String host, int port, long periodMs, Ticker ticker) {
    this.membership = membership;
    this.ticker = ticker;
    try {
      this.socket = new DatagramSocket(new InetSocketAddress(InetAddress.getByName(host), port));
    } catch (IOException e) {
      throw new LandingtrackException(
          ErrorKind.INTERNAL, "cannot open probe port " + host + ":" + port, e);
    }
    this.duty = BoundedWorker.start("membership", 1_024);
    duty.runPeriodically(Math.max(1, periodMs / 2), this::runHalfPeriod);
    BoundedWorker.daemonThreadFactory("membership-receive").newThread(this::receiveLoop).start();
  }

  private void runHalfPeriod() {
    List<Probe.Outgoing> outgoing;
    synchronized (membership) {
      outgoing = secondHalf ? membership.requestIndirectProbes() : membership.tick(ticker.millis());
      secondHalf = !secondHalf;
    }
    sendAll(outgoing);
  }

  private void receiveLoop() {
    byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
    while (!socket.isClosed()) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        Probe probe = MessagePack.MAPPER.readValue(buffer, 0, packet.getLength(), Probe.class);
        List<Probe.Outgoing> answers;
        synchronized (membership) {
          answers = membership.receive(probe, ticker.millis());
        }
        sendAll(answers);
      } catch (IOException e) {
        log.debug("Dropped a datagram: {}.", e.toString());
      } catch (Throwable e) {
        ThreadFailures.record("membership-receive", e, "the datagram is dropped");
      }
    }
  }

  private void sendAll(List<Probe.Outgoing> outgoing) {
    for (Probe.Outgoing out : outgoing) {
      try {
        byte[] bytes = MessagePack.MAPPER.writeValueAsBytes(out.probe());
        socket.send(new DatagramPacket(bytes, bytes.length, Addresses.parse(out.address())));
      } catch (IOException e) {
        log.debug("Could not send a datagram: {}.", e.toString());
      }
    }
  }

  /** Adds unknown members from a list that may be outdated. */
  public void seed(Collection<Member> seeds) {
    synchronized (membership) {
      membership.seed(seeds, ticker.millis());
    }
  }

  /** Returns all known members, including dead ones. */
  public List<Member> members() {
    synchronized (membership) {
      return membership.members();
    }
  }

  /** Returns the members that may be given work, including this one. */
  public List<Member> usable() {
    return members().stream().filter(Member::isUsable).toList();
  }

  /** Returns this member. */
  public Member self() {
    synchronized (membership) {
      return membership.self();
    }
  }

  /** Announces that this member leaves, and closes the port. */
  @Override
  public void close() {
    List<Probe.Outgoing> announcements;
    synchronized (membership) {
      announcements = membership.leave();
    }
    sendAll(announcements);
    duty.close();
    socket.close();
  }
}
