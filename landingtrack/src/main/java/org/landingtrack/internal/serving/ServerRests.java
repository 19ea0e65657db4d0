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
import org.landingtrack.internal.loads.LoadExchange;
import org.landingtrack.internal.loads.RestNews;

/**
 * Keeps the backoffs that backend servers asked any VM for, by the hash of their incarnation. A
 * backoff binds the VM that was asked. The other VMs skip such a server while another one is
 * available, because otherwise each of them would waste an attempt to find out. Nothing is stored
 * or sent if no server asks for a backoff. Used on the event loop only.
 */
public final class ServerRests implements LoadExchange.Board<RestNews> {
  /** How long a backoff is repeated to other VMs, to make up for lost messages. */
  static final long TOLD_MS = 1_000;

  /** Bound of backoffs in one message, 1.1 kB. */
  static final int MAX_TOLD = 64;

  /**
   * Extra delay of the other VMs. The VM that was asked sends the first request to the server, and
   * the others learn the result.
   */
  private static final long OTHERS_LATER_MS = 300;

  /** Range over which the other VMs spread their trials, so that they come one after the other. */
  private static final long SPREAD_MS = 700;

  private final EventLoop loop;
  private final long salt;
  private final Map<Long, Asked> rests = new HashMap<>();

  /** A backoff that a server asked some VM for; {@code here} is true if it was this VM. */
  private record Asked(long untilMs, long atMs, boolean here) {}

  /**
   * Creates an empty registry.
   *
   * @param salt differs between VMs
   */
  ServerRests(EventLoop loop, long salt) {
    this.loop = loop;
    this.salt = salt;
  }

  /** Notes that a server asked this VM to back off. */
  void asked(long server, long restMs) {
    long now = loop.millis();
    note(server, new Asked(now + Math.min(restMs, ServerRest.MAX_MS), now, true));
  }

  private void note(long server, Asked backoff) {
    if (rests.size() < ServerLimits.MAX_KEPT || rests.containsKey(server)) {
      rests.merge(server, backoff, (known, added) -> added.untilMs > known.untilMs ? added : known);
    }
  }

  /**
   * Returns true if a server asked other VMs to back off and that is not over, including a short
   * delay.
   */
  boolean isElsewhere(long server) {
    Asked backoff = rests.isEmpty() ? null : rests.get(server);
    if (backoff == null || backoff.here) {
      return false;
    }
    long spreadMs = Math.floorMod(Hashes.weight(salt, server), SPREAD_MS);
    return loop.millis() < backoff.untilMs + OTHERS_LATER_MS + spreadMs;
  }

  /** Returns the number of servers that asked this VM or others to back off. */
  public int count() {
    int count = 0;
    for (Asked backoff : rests.values()) {
      count += loop.millis() < backoff.untilMs ? 1 : 0;
    }
    return count;
  }

  @Override
  public List<RestNews> news() {
    if (rests.isEmpty()) {
      return List.of();
    }
    long now = loop.millis();
    rests.values().removeIf(each -> now > each.untilMs + OTHERS_LATER_MS + SPREAD_MS);
    List<RestNews> reports = new ArrayList<>();
    rests.forEach(
        (server, backoff) -> {
          long agoMs = now - backoff.atMs;
          if (agoMs <= TOLD_MS && now < backoff.untilMs && reports.size() < MAX_TOLD) {
            reports.add(new RestNews(server, backoff.untilMs - now, agoMs));
          }
        });
    return reports;
  }

  @Override
  public void heard(List<RestNews> news) {
    long now = loop.millis();
    for (RestNews report : news) {
      long leftMs = Math.min(report.leftMs(), ServerRest.MAX_MS);
      note(report.server(), new Asked(now + leftMs, now - report.agoMs(), false));
    }
  }
}
