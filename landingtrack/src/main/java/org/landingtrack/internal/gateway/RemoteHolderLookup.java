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
package org.landingtrack.internal.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.dispatch.HolderLookup;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.peer.Messages.HoldersAnswer;
import org.landingtrack.internal.peer.Messages.HoldersQuery;
import org.landingtrack.internal.peer.Messages.MemberInfo;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.landingtrack.internal.prefix.PrefixChain;

/**
 * Looks up the servers that hold blocks of a prompt in the prefix directory of the controllers:
 * asks the controller that owns the prompt's group, then its successor. A lookup without an answer
 * only loses some reuse of the KV cache, so the timeout is short, and a failed lookup is followed
 * by a backoff in which none is sent. Thread-safe.
 */
final class RemoteHolderLookup implements HolderLookup {
  private static final int TIMEOUT_MS = 40;
  private static final int MAX_OWNERS = 2;
  private static final long BACKOFF_MS = 500;

  private final ControllerLink link;
  private final PeerClient peers;
  private final Ticker ticker;
  private final AtomicLong backoffUntilMs = new AtomicLong(Long.MIN_VALUE);

  RemoteHolderLookup(ControllerLink link, PeerClient peers, Ticker ticker) {
    this.link = link;
    this.peers = peers;
    this.ticker = ticker;
  }

  @Override
  public List<Holder> holders(String service, PrefixChain chain) {
    if (chain.depth() == 0 || ticker.millis() < backoffUntilMs.get()) {
      return List.of();
    }
    HoldersQuery query = new HoldersQuery(service, chain.groupKey(), chain.keys());
    List<MemberInfo> owners = new ArrayList<>(link.ownersOf(chain.groupKey()));
    for (int i = 0; i < Math.min(MAX_OWNERS, owners.size()); i++) {
      try {
        return peers
            .call(owners.get(i).address(), query, HoldersAnswer.class, TIMEOUT_MS)
            .holders();
      } catch (PeerException e) {
        // Tries the successor.
      }
    }
    backoffUntilMs.set(ticker.millis() + BACKOFF_MS);
    return List.of();
  }
}
