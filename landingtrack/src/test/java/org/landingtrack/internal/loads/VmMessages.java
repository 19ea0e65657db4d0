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
import java.util.List;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;

/** Creates the encoded and decoded messages of one VM, for tests of fleets without sockets. */
public final class VmMessages {
  private final PeerLoads peers;
  private long sequence = 1;

  /** Creates a source of messages of a VM. */
  public VmMessages(PeerLoads peers) {
    this.peers = peers;
  }

  /** Returns the next message of this VM, without tallies, as another VM decodes it. */
  public GossipMessage next(
      Kind kind, List<Load> own, List<LimitReport> limits, List<BackoffReport> rests) {
    return next(kind, own, limits, rests, List.of());
  }

  /** Returns the next message of this VM, with tallies, as another VM decodes it. */
  public GossipMessage next(
      Kind kind,
      List<Load> own,
      List<LimitReport> limits,
      List<BackoffReport> rests,
      List<FleetTallies> tallies) {
    GossipMessage message =
        new GossipMessage(
            peers.self(),
            sequence++,
            kind,
            peers.sightings(),
            peers.loadsFor(kind, own),
            List.of(),
            List.of(),
            List.of(),
            limits,
            rests,
            FleetTallies.createReports(kind, tallies),
            List.of());
    try {
      byte[] bytes = GossipCodec.encode(message);
      return GossipCodec.decode(bytes, bytes.length);
    } catch (IOException e) {
      throw new IllegalStateException("the message cannot be encoded or decoded", e);
    }
  }
}
