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
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.BackoffReport;
import org.landingtrack.internal.loads.GossipExchange;

/**
 * Keeps the backoffs that backend servers asked any VM for, by the hash of their incarnation. A
 * backoff binds the VM that was asked. The other VMs skip such a server while another one is
 * available, because otherwise each of them would waste an attempt to find out. Nothing is stored
 * or sent if no server asks for a backoff. Used on the event loop only.
 */
public final class SharedBackoffs implements GossipExchange.ReportHandler<BackoffReport> {
  /** How long a backoff is repeated to other VMs, to make up for lost messages. */
  static final long REPORT_MS = 1_000;

  /** Bound of backoffs in one message, 1.1 kB. */
  static final int MAX_REPORTED = 64;

  /**
   * Extra delay of the other VMs. The VM that was asked sends the first request to the server, and
   * the others learn the result.
   */
  private static final long REMOTE_DELAY_MS = 300;

  /** Range over which the other VMs spread their trials, so that they come one after the other. */
  private static final long JITTER_MS = 700;

  private final EventLoop loop;
  private final long salt;
  private final Map<Long, RequestedBackoff> backoffs = new HashMap<>();

  /** A backoff that a server asked some VM for; {@code isLocal} is true if it was this VM. */
  private record RequestedBackoff(long untilMs, long requestedAtMs, boolean isLocal) {}

  /**
   * Creates an empty registry.
   *
   * @param salt differs between VMs
   */
  SharedBackoffs(EventLoop loop, long salt) {
    this.loop = loop;
    this.salt = salt;
  }

  /** Notes that a server asked this VM to back off. */
  void requested(long server, long restMs) {
    long now = loop.millis();
    keepLongest(
        server, new RequestedBackoff(now + Math.min(restMs, ServerBackoff.MAX_MS), now, true));
  }

  private void keepLongest(long server, RequestedBackoff backoff) {
    if (backoffs.size() < ServerLimits.MAX_LIMITS || backoffs.containsKey(server)) {
      backoffs.merge(
          server, backoff, (known, added) -> added.untilMs > known.untilMs ? added : known);
    }
  }

  /**
   * Returns true if a server asked other VMs to back off and that is not over, including a short
   * delay.
   */
  boolean isRequestedElsewhere(long server) {
    RequestedBackoff backoff = backoffs.isEmpty() ? null : backoffs.get(server);
    if (backoff == null || backoff.isLocal) {
      return false;
    }
    long spreadMs = Math.floorMod(Hashes.combine(salt, server), JITTER_MS);
    return loop.millis() < backoff.untilMs + REMOTE_DELAY_MS + spreadMs;
  }

  /** Returns the number of servers that asked this VM or others to back off. */
  public int count() {
    int count = 0;
    for (RequestedBackoff backoff : backoffs.values()) {
      count += loop.millis() < backoff.untilMs ? 1 : 0;
    }
    return count;
  }

  @Override
  public List<BackoffReport> reportsToSend() {
    if (backoffs.isEmpty()) {
      return List.of();
    }
    long now = loop.millis();
    backoffs.values().removeIf(each -> now > each.untilMs + REMOTE_DELAY_MS + JITTER_MS);
    List<BackoffReport> reports = new ArrayList<>();
    backoffs.forEach(
        (server, backoff) -> {
          long agoMs = now - backoff.requestedAtMs;
          if (agoMs <= REPORT_MS && now < backoff.untilMs && reports.size() < MAX_REPORTED) {
            reports.add(new BackoffReport(server, backoff.untilMs - now, agoMs));
          }
        });
    return reports;
  }

  @Override
  public void receiveReports(List<BackoffReport> news) {
    long now = loop.millis();
    for (BackoffReport report : news) {
      long leftMs = Math.min(report.remainingMs(), ServerBackoff.MAX_MS);
      keepLongest(report.server(), new RequestedBackoff(now + leftMs, now - report.agoMs(), false));
    }
  }
}
