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
import org.landingtrack.internal.quarantine.Charge;
import org.landingtrack.internal.quarantine.Quarantine;

/**
 * Detects servers that crashed while requests were in flight there, and reports those requests to
 * the {@link Quarantine}. A broken connection alone does not prove a crash: it may have been reset
 * or cut, or the answer may be malformed. Proof that a server ended is that its address refuses
 * connections, that another incarnation answers there, or that its entry disappears. The end of a
 * server that announced to leave is counted against no request. Used on the event loop only.
 */
final class CrashDetector {
  /**
   * How long a broken request waits for proof that its server ended. An entry disappears within
   * four seconds of the end of its server; the remainder covers delays of the store's watch.
   */
  private static final long EVIDENCE_WINDOW_MS = 10_000;

  /**
   * Delay before the second connection attempt. A server that ends may accept connections for a
   * moment after it broke off others: with a single attempt, two of about 45 crashes were not
   * counted against their request, in eight runs of a test over sockets.
   */
  private static final long PROBE_RETRY_MS = 250;

  /**
   * Connection attempts to a server after a request broke off there; one more than is usually
   * needed.
   */
  private static final int MAX_PROBES = 2;

  private final Quarantine quarantine;
  private final EventLoop loop;
  private final BackendTransport transport;
  private final Map<Backend, BrokenRequests> brokenRequests = new HashMap<>();

  /** Requests that broke off at one server, and the number of connection attempts made. */
  private static final class BrokenRequests {
    private final List<List<Charge>> requests = new ArrayList<>();
    private int probes;
  }

  CrashDetector(Quarantine quarantine, EventLoop loop, BackendTransport transport) {
    this.quarantine = quarantine;
    this.loop = loop;
    this.transport = transport;
  }

  /**
   * Notes that a request broke off at a server, which may have crashed because of it.
   *
   * @param request what the crash counts against: the request and the parts of its prompt
   */
  void onRequestBroken(List<Charge> request, Backend server) {
    if (server.leavingForMs(loop.millis()) >= 0) {
      return;
    }
    if (server.hasEnded()) {
      quarantine.recordCrash(request, server.incarnationHash());
      return;
    }
    BrokenRequests pending = brokenRequests.computeIfAbsent(server, key -> new BrokenRequests());
    pending.requests.add(request);
    loop.schedule(EVIDENCE_WINDOW_MS, () -> forget(request, server));
    if (pending.probes == 0) {
      probe(server, pending);
    }
  }

  private void probe(Backend server, BrokenRequests pending) {
    pending.probes++;
    transport.probe(
        server.entry().id(), server.entry().address(), refused -> onProbed(server, refused));
  }

  private void onProbed(Backend server, boolean refused) {
    BrokenRequests pending = brokenRequests.get(server);
    if (pending == null) {
      return;
    }
    if (refused) {
      onServerEnded(server);
    } else if (pending.probes < MAX_PROBES) {
      loop.schedule(PROBE_RETRY_MS, () -> probeAgain(server, pending));
    } else {
      pending.probes = 0;
    }
  }

  private void probeAgain(Backend server, BrokenRequests pending) {
    if (brokenRequests.get(server) == pending) {
      probe(server, pending);
    }
  }

  /** Notes that a server ended, and counts the crash against all requests that broke off there. */
  void onServerEnded(Backend server) {
    server.markEnded();
    BrokenRequests pending = brokenRequests.remove(server);
    if (pending != null) {
      List<Charge> charges = new ArrayList<>();
      pending.requests.forEach(charges::addAll);
      quarantine.recordCrash(charges, server.incarnationHash());
    }
  }

  private void forget(List<Charge> request, Backend server) {
    BrokenRequests pending = brokenRequests.get(server);
    if (pending == null) {
      return;
    }
    pending.requests.remove(request);
    if (pending.requests.isEmpty()) {
      brokenRequests.remove(server);
    }
  }
}
