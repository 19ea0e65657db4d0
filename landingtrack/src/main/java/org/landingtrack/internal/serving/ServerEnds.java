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
package org.landingtrack.internal.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.quarantine.RequestDigest;

/**
 * Finds out which servers ended under the requests that broke off at them, and charges those. A
 * connection also breaks by a reset, a spoilt answer or a cut; that a server ended is proved by its
 * address that refuses connections, by another start there, or by its entry that goes. A server
 * that leaves as planned charges nobody.
 */
final class ServerEnds {
  /** An entry goes within four seconds of the end of its server; the rest is for the watch. */
  private static final long PROOF_MS = 10_000;

  /**
   * A server that ends may take connections for a moment after it broke off others: looked at once
   * only, two ends were not charged to their request, of some 45 in eight runs of a test over
   * sockets.
   */
  private static final long LOOK_AGAIN_MS = 250;

  /** Connects to a server after a request broke off there: one more than is mostly needed. */
  private static final int LOOKS = 2;

  private final Quarantine quarantine;
  private final EventLoop loop;
  private final BackendTransport transport;
  private final Map<Backend, Broken> broken = new HashMap<>();

  /** What broke off at a server. */
  private static final class Broken {
    private final List<RequestDigest> requests = new ArrayList<>();
    private int looks;
  }

  ServerEnds(Quarantine quarantine, EventLoop loop, BackendTransport transport) {
    this.quarantine = quarantine;
    this.loop = loop;
    this.transport = transport;
  }

  /** Notes that a request broke off at a server, which may have ended under it. */
  void brokeOff(RequestDigest request, Backend at) {
    if (at.leavingForMs(loop.millis()) >= 0) {
      return;
    }
    if (at.hasEnded()) {
      quarantine.charge(request, at.startHash());
      return;
    }
    Broken known = broken.computeIfAbsent(at, server -> new Broken());
    known.requests.add(request);
    loop.schedule(PROOF_MS, () -> forget(request, at));
    if (known.looks == 0) {
      look(at, known);
    }
  }

  private void look(Backend at, Broken known) {
    known.looks++;
    transport.probe(at.entry().address(), refused -> looked(at, refused));
  }

  private void looked(Backend at, boolean refused) {
    Broken known = broken.get(at);
    if (known == null) {
      return;
    }
    if (refused) {
      ended(at);
    } else if (known.looks < LOOKS) {
      loop.schedule(LOOK_AGAIN_MS, () -> lookAgain(at, known));
    } else {
      known.looks = 0;
    }
  }

  private void lookAgain(Backend at, Broken known) {
    if (broken.get(at) == known) {
      look(at, known);
    }
  }

  /** Notes that a server ended; whatever broke off at it is charged with that. */
  void ended(Backend server) {
    server.end();
    Broken known = broken.remove(server);
    if (known != null) {
      known.requests.forEach(request -> quarantine.charge(request, server.startHash()));
    }
  }

  private void forget(RequestDigest request, Backend at) {
    Broken known = broken.get(at);
    if (known == null) {
      return;
    }
    known.requests.remove(request);
    if (known.requests.isEmpty()) {
      broken.remove(at);
    }
  }
}
