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
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.loads.GossipExchange;
import org.landingtrack.internal.loads.LimitReport;

/**
 * Keeps the request limits that backend servers reported, by the hash of their incarnation. VMs
 * exchange the limits that they read in answers, since a VM that hardly sends to a server any more
 * would not learn that its limit was lifted. The later report wins, so neither order nor repetition
 * of reports matters.
 *
 * <p>Without a known limit nothing is stored or sent. A limit costs about 20 bytes in each message
 * for {@link #REPORT_MS} after each answer that reports it. Used on the event loop only.
 */
public final class ServerLimits implements GossipExchange.ReportHandler<LimitReport> {
  /** How long a report is repeated to other VMs, to make up for lost messages. */
  static final long REPORT_MS = 2_000;

  /** How long a limit is stored without a new report; the next answer reports it again. */
  static final long FORGET_MS = 600_000;

  /** Bound of limits in one message, 1.3 kB; the latest reports come first. */
  static final int MAX_REPORTED = 64;

  /**
   * Maximum number of stored limits; no planned deployment is expected to have more servers with a
   * limit at the same time.
   */
  static final int MAX_LIMITS = 4_096;

  private final EventLoop loop;
  private final Map<Long, ServerLimit> limits = new HashMap<>();

  ServerLimits(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns the limit of a server incarnation, or null if it has none. */
  @Nullable ServerLimit find(long server) {
    ServerLimit limit = limits.isEmpty() ? null : limits.get(server);
    return limit == null || limit.isLifted() ? null : limit;
  }

  /** Returns the number of servers with a limit. */
  public int count() {
    int count = 0;
    for (ServerLimit limit : limits.values()) {
      count += limit.isLifted() ? 0 : 1;
    }
    return count;
  }

  /** Applies a limit that an answer reported just now; returns true if it is new. */
  boolean reported(long server, double perSecond) {
    return reported(server, perSecond, loop.millis());
  }

  private boolean reported(long server, double perSecond, long atMs) {
    ServerLimit limit = limits.get(server);
    if (limit == null) {
      if (limits.size() >= MAX_LIMITS) {
        return false;
      }
      limit = new ServerLimit();
      limits.put(server, limit);
    }
    return limit.reported(perSecond, atMs);
  }

  /**
   * Applies an answer that reports no limit; returns true if that lifted a limit.
   *
   * @param sentAtMs when the request of the answer was sent
   */
  boolean reportedNone(long server, long sentAtMs) {
    ServerLimit limit = find(server);
    return limit != null && limit.isLiftedByAnswerTo(sentAtMs) && limit.lift(loop.millis());
  }

  /** Returns the number of requests that this VM recently sent to a server with a limit. */
  int recentSends(long server) {
    ServerLimit limit = find(server);
    return limit == null ? 0 : limit.recentSends(loop.millis());
  }

  @Override
  public List<LimitReport> reportsToSend() {
    if (limits.isEmpty()) {
      return List.of();
    }
    long now = loop.millis();
    limits.values().removeIf(limit -> now - limit.reportedAtMs() > FORGET_MS);
    List<LimitReport> reports = new ArrayList<>();
    limits.forEach(
        (server, limit) -> {
          long agoMs = now - limit.reportedAtMs();
          if (agoMs <= REPORT_MS) {
            double perSecond = limit.isLifted() ? LimitReport.LIFTED : limit.reported();
            reports.add(new LimitReport(server, perSecond, agoMs));
          }
        });
    reports.sort(Comparator.comparingLong(LimitReport::agoMs));
    return reports.size() <= MAX_REPORTED ? reports : reports.subList(0, MAX_REPORTED);
  }

  @Override
  public void receiveReports(List<LimitReport> news) {
    for (LimitReport report : news) {
      long atMs = loop.millis() - report.agoMs();
      if (!report.isLifted()) {
        reported(report.server(), report.perSecond(), atMs);
        continue;
      }
      ServerLimit limit = limits.get(report.server());
      if (limit != null) {
        limit.lift(atMs);
      }
    }
  }
}
