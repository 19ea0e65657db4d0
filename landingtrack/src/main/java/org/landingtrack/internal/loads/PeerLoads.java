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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.LoadNews.Load;

/** What other VMs have under way at backend servers, and which VMs there are. Not thread-safe. */
public final class PeerLoads {
  /** Between two rounds of news. */
  public static final long ROUND_MS = 100;

  /** VMs that hear the news of a round; more take turns. */
  static final int PEERS_A_ROUND = 8;

  /** News are used for so many times the time between two of a sender. */
  private static final long FRESH_ROUNDS = 4;

  /** A VM that was not heard of for so long gets news only now and then. */
  private static final long QUIET_MS = 2_000;

  /** After so long it is forgotten; a process that starts again is back long before. */
  private static final long FORGET_MS = 30_000;

  private static final int QUIET_EVERY_ROUNDS = 10;

  private final Ticker ticker;
  private final String self;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<Long, Load> totals = new HashMap<>();
  private long round;

  private static final class Peer {
    private long sequence = -1;
    private long heardAtMs;
    private List<Load> loads = List.of();
  }

  /**
   * Creates an empty view.
   *
   * @param self the address at which this VM hears news
   */
  public PeerLoads(Ticker ticker, String self) {
    this.ticker = ticker;
    this.self = self;
  }

  /** Adds VMs that may exist, for example from the settings. */
  public void introduce(List<String> addresses) {
    long now = ticker.millis();
    for (String address : addresses) {
      if (!address.equals(self)) {
        peers.computeIfAbsent(address, name -> heardLongAgo(now));
      }
    }
  }

  private static Peer heardLongAgo(long now) {
    Peer peer = new Peer();
    peer.heardAtMs = now - QUIET_MS;
    return peer;
  }

  /** Takes news; older ones than known of the same sender change nothing. */
  public void heard(LoadNews news) {
    if (news.sender().equals(self)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(news.sender(), name -> new Peer());
    long now = ticker.millis();
    boolean restarted = now - peer.heardAtMs > QUIET_MS;
    if (news.sequence() <= peer.sequence && !restarted) {
      return;
    }
    peer.sequence = news.sequence();
    peer.heardAtMs = now;
    peer.loads = news.loads();
    introduce(news.peers());
    addUp();
  }

  /** Starts a round: forgets what is old and returns the VMs that get news in it. */
  public List<String> nextRound() {
    long now = ticker.millis();
    round++;
    peers.values().removeIf(peer -> now - peer.heardAtMs > FORGET_MS);
    addUp();
    List<String> active = new ArrayList<>();
    List<String> chosen = new ArrayList<>();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      if (now - entry.getValue().heardAtMs < QUIET_MS) {
        active.add(entry.getKey());
      } else if (round % QUIET_EVERY_ROUNDS == 1) {
        chosen.add(entry.getKey());
      }
    }
    active.sort(null);
    int size = active.size();
    int start = size <= PEERS_A_ROUND ? 0 : (int) (round * PEERS_A_ROUND % size);
    for (int i = 0; i < Math.min(size, PEERS_A_ROUND); i++) {
      chosen.add(active.get((start + i) % size));
    }
    return chosen;
  }

  /** Returns VMs that were heard of lately. */
  public List<String> lately() {
    long now = ticker.millis();
    List<String> lately = new ArrayList<>();
    peers.forEach(
        (address, peer) -> {
          if (now - peer.heardAtMs < QUIET_MS) {
            lately.add(address);
          }
        });
    return lately;
  }

  private void addUp() {
    long now = ticker.millis();
    long turns = 1L + peers.size() / PEERS_A_ROUND;
    long freshMs = FRESH_ROUNDS * ROUND_MS * turns;
    totals.clear();
    for (Peer peer : peers.values()) {
      if (now - peer.heardAtMs > freshMs) {
        continue;
      }
      for (Load load : peer.loads) {
        totals.merge(load.server(), load, PeerLoads::sum);
      }
    }
  }

  private static Load sum(Load a, Load b) {
    return new Load(a.server(), a.pendingTokens() + b.pendingTokens(), a.running() + b.running());
  }

  /** Returns the prompt tokens that a server has yet to read for other VMs. */
  public long pendingTokens(long server) {
    Load load = totals.get(server);
    return load == null ? 0 : load.pendingTokens();
  }

  /** Returns the requests of other VMs that a server has. */
  public int running(long server) {
    Load load = totals.get(server);
    return load == null ? 0 : load.running();
  }
}
