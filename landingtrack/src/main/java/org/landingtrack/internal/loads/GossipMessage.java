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

import java.util.List;
import org.landingtrack.internal.quarantine.SuspectReport;
import org.landingtrack.internal.streams.MixedServiceReport;

/**
 * Gossip message from one VM to another in one datagram, encoded as MessagePack arrays without
 * field names.
 *
 * @param sender the VM that sends the message
 * @param sequence increases with each message of the sender
 * @param kind whose requests {@code loads} counts
 * @param sightings some of the VMs that were active recently
 * @param loads requests in flight, for the servers that have any
 * @param stores reports about part stores
 * @param feeds the sender's progress in reading the Object API itself; only from hubs
 * @param suspects requests that were in flight at servers that crashed
 * @param limits rate limits that servers stated recently
 * @param backoffs recent backoffs that servers asked for
 * @param tallies counters that VMs share
 * @param mixedServices services whose servers have or had several software versions
 */
public record GossipMessage(
    Vm sender,
    long sequence,
    Kind kind,
    List<Sighting> sightings,
    List<Load> loads,
    List<PartStoreReport> stores,
    List<FeedReport> feeds,
    List<SuspectReport> suspects,
    List<LimitReport> limits,
    List<BackoffReport> backoffs,
    List<TallyReport> tallies,
    List<MixedServiceReport> mixedServices) {
  public GossipMessage {
    mixedServices = List.copyOf(mixedServices);
    tallies = List.copyOf(tallies);
    backoffs = List.copyOf(backoffs);
    limits = List.copyOf(limits);
    suspects = List.copyOf(suspects);
    feeds = List.copyOf(feeds);
    sightings = List.copyOf(sightings);
    loads = List.copyOf(loads);
    stores = List.copyOf(stores);
  }

  /**
   * Creates a message without Object API progress, suspects, server limits, backoffs, tallies and
   * mixed services.
   */
  public GossipMessage(
      Vm sender,
      long sequence,
      Kind kind,
      List<Sighting> seen,
      List<Load> loads,
      List<PartStoreReport> stores) {
    this(
        sender, sequence, kind, seen, loads, stores, List.of(), List.of(), List.of(), List.of(),
        List.of(), List.of());
  }

  /** Says whose requests a message counts. */
  public enum Kind {
    /** Requests of the sender. */
    OWN,
    /** Requests of the sender and of the VMs that report to it; sent from hub to hub. */
    GROUP,
    /** Requests of all VMs; sent from a hub to the VMs that report to it. */
    ALL
  }

  /**
   * Identifies a VM.
   *
   * @param address host and port at which it receives gossip messages
   * @param dataCentre the data centre of the VM
   * @param strength processor capacity in hundredths of a core; 0 if unknown
   */
  public record Vm(String address, String dataCentre, int strength) {
    /**
     * Returns true if all components are equal. Compares directly, since the generated {@code
     * equals} of a record is linked at run time.
     */
    boolean isSame(Vm other) {
      return strength == other.strength
          && address.equals(other.address)
          && dataCentre.equals(other.dataCentre);
    }
  }

  /**
   * A VM from which the sender or another VM received a message.
   *
   * @param agoMs milliseconds since that message arrived
   */
  public record Sighting(Vm vm, long agoMs) {}

  /**
   * Load of one server or part store.
   *
   * @param server hash of the id of the server's incarnation, or of the part store's address
   * @param pendingTokens prompt tokens that the server has yet to prefill
   * @param running requests in flight; at a part store, transfers
   * @param transferMs how long pending transfers keep the link of the server or store busy
   * @param memoryTokensInUse tokens of the server's memory that requests in flight need
   * @param limitedSends requests sent to the server recently, if it has a rate limit
   */
  public record Load(
      long server,
      long pendingTokens,
      int running,
      long transferMs,
      long memoryTokensInUse,
      int limitedSends) {
    /** Creates the load of a server without a rate limit. */
    public Load(long server, long pendingTokens, int running, long movingMs, long heldTokens) {
      this(server, pendingTokens, running, movingMs, heldTokens, 0);
    }

    /** Returns the sum of two loads of one server. */
    Load plus(Load other) {
      return new Load(
          server,
          pendingTokens + other.pendingTokens,
          running + other.running,
          transferMs + other.transferMs,
          memoryTokensInUse + other.memoryTokensInUse,
          limitedSends + other.limitedSends);
    }

    /** Returns this load minus another one, with no component below 0. */
    Load minus(Load other) {
      return new Load(
          server,
          Math.max(0, pendingTokens - other.pendingTokens),
          Math.max(0, running - other.running),
          Math.max(0, transferMs - other.transferMs),
          Math.max(0, memoryTokensInUse - other.memoryTokensInUse),
          Math.max(0, limitedSends - other.limitedSends));
    }
  }
}
