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
 * Detects servers that crashed while requests were in flight there, and reports those requests to
 * the {@link Quarantine}. A broken connection alone does not prove a crash: it may have been reset
 * or cut, or the answer may be malformed. Proof that a server ended is that its address refuses
 * connections, that another incarnation answers there, or that its entry disappears. The end of a
 * server that announced to leave is counted against no request. Used on the event loop only.
 */
final class ServerEnds {
  /**
   * How long a broken request waits for proof that its server ended. An entry disappears within
   * four seconds of the end of its server; the remainder covers delays of the store's watch.
   */
  private static final long PROOF_MS = 10_000;

  /**
   * Delay before the second connection attempt. A server that ends may accept connections for a
   * moment after it broke off others: with a single attempt, two of about 45 crashes were not
   * counted against their request, in eight runs of a test over sockets.
   */
  private static final long LOOK_AGAIN_MS = 250;

  /**
   * Connection attempts to a server after a request broke off there; one more than is usually
   * needed.
   */
  private static final int LOOKS = 2;

  private final Quarantine quarantine;
  private final EventLoop loop;
  private final BackendTransport transport;
  private final Map<Backend, Broken> broken = new HashMap<>();

  /** Requests that broke off at one server, and the number of connection attempts made. */
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
  void brokeOff(RequestDigest request, Backend server) {
    if (server.leavingForMs(loop.millis()) >= 0) {
      return;
    }
    if (server.hasEnded()) {
      quarantine.charge(request, server.startHash());
      return;
    }
    Broken pending = broken.computeIfAbsent(server, key -> new Broken());
    pending.requests.add(request);
    loop.schedule(PROOF_MS, () -> forget(request, server));
    if (pending.looks == 0) {
      look(server, pending);
    }
  }

  private void look(Backend server, Broken pending) {
    pending.looks++;
    transport.probe(server.entry().address(), refused -> looked(server, refused));
  }

  private void looked(Backend server, boolean refused) {
    Broken pending = broken.get(server);
    if (pending == null) {
      return;
    }
    if (refused) {
      ended(server);
    } else if (pending.looks < LOOKS) {
      loop.schedule(LOOK_AGAIN_MS, () -> lookAgain(server, pending));
    } else {
      pending.looks = 0;
    }
  }

  private void lookAgain(Backend server, Broken pending) {
    if (broken.get(server) == pending) {
      look(server, pending);
    }
  }

  /** Notes that a server ended, and counts the crash against all requests that broke off there. */
  void ended(Backend server) {
    server.end();
    Broken pending = broken.remove(server);
    if (pending != null) {
      pending.requests.forEach(request -> quarantine.charge(request, server.startHash()));
    }
  }

  private void forget(RequestDigest request, Backend server) {
    Broken pending = broken.get(server);
    if (pending == null) {
      return;
    }
    pending.requests.remove(request);
    if (pending.requests.isEmpty()) {
      broken.remove(server);
    }
  }
}
