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
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.quarantine.Quarantine.Change;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.landingtrack.internal.serving.ServingState.UpdateSource;
import org.landingtrack.internal.streams.OriginSearchResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the log lines of successful requests. The first {@link #MAX_REQUESTS_PER_SECOND} requests
 * of each second are logged completely. Lines of further requests are buffered until the request
 * ends; they are written if it fails, and only counted if it succeeds. Not thread-safe: used on the
 * event loop only.
 */
public final class RateLimitedDecisionLog implements DecisionLog {
  private static final Logger log = LoggerFactory.getLogger("request");

  /**
   * Requests per second that are logged completely: seven times the request rate of a VM on a quiet
   * day. This amounts to about 25 KB of log lines per second.
   */
  static final int MAX_REQUESTS_PER_SECOND = 100;

  /**
   * Log lines per second about notices of servers, which may differ in each response of a server.
   */
  static final int MAX_NOTICES_PER_SECOND = 50;

  private static final long WINDOW_MS = 1_000;
  private static final int MIN_ERROR_STATUS = 400;

  private final DecisionLog delegate;
  private final EventLoop loop;
  private final Map<RequestRun, List<RoutingDecision>> bufferedDecisions = new HashMap<>();
  private long windowStartMs;
  private int requestsInWindow;
  private long noticeWindowStartMs;
  private int noticesInWindow;
  private long suppressed;

  /** Creates a log that forwards what is to be written to {@code lines}. */
  public RateLimitedDecisionLog(DecisionLog lines, EventLoop loop) {
    this.delegate = lines;
    this.loop = loop;
    this.windowStartMs = loop.millis();
  }

  @Override
  public void originSearched(RequestRun run, OriginSearchResult found) {
    delegate.originSearched(run, found);
  }

  @Override
  public void routed(RequestRun run, RoutingDecision decision) {
    List<RoutingDecision> earlier = bufferedDecisions.get(run);
    if (earlier != null) {
      earlier.add(decision);
      return;
    }
    if (decision.attempt() == 1 && !tryAcquire()) {
      bufferedDecisions.put(run, new ArrayList<>(List.of(decision)));
      return;
    }
    delegate.routed(run, decision);
  }

  private boolean tryAcquire() {
    long now = loop.millis();
    if (now - windowStartMs >= WINDOW_MS) {
      windowStartMs = now;
      requestsInWindow = 0;
      logSuppressed();
    }
    requestsInWindow++;
    return requestsInWindow <= MAX_REQUESTS_PER_SECOND;
  }

  private void logSuppressed() {
    if (suppressed > 0) {
      log.atInfo().addKeyValue("requests", suppressed).log("successes left out");
      suppressed = 0;
    }
  }

  private void writeBuffered(RequestRun run) {
    List<RoutingDecision> buffered = bufferedDecisions.remove(run);
    if (buffered != null) {
      buffered.forEach(decision -> delegate.routed(run, decision));
    }
  }

  @Override
  public void attemptFailed(RequestRun run, String server, String outcome, String why) {
    writeBuffered(run);
    delegate.attemptFailed(run, server, outcome, why);
  }

  @Override
  public void attemptInDoubt(RequestRun run, String server, String outcome, String why) {
    writeBuffered(run);
    delegate.attemptInDoubt(run, server, outcome, why);
  }

  @Override
  public void answered(RequestRun run, String server, int status, long firstMs, long totalMs) {
    if (status < MIN_ERROR_STATUS && bufferedDecisions.remove(run) != null) {
      suppressed++;
      return;
    }
    writeBuffered(run);
    delegate.answered(run, server, status, firstMs, totalMs);
  }

  @Override
  public void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs) {
    writeBuffered(run);
    delegate.refused(run, kind, why, retryAfterMs);
  }

  @Override
  public void aborted(RequestRun run, String server, String why) {
    writeBuffered(run);
    delegate.aborted(run, server, why);
  }

  @Override
  public void serverChanged(String change, ServerEntry entry, long revision) {
    delegate.serverChanged(change, entry, revision);
  }

  @Override
  public void serverStated(ServerEntry server, String change, double limitPerSecond, long restMs) {
    long now = loop.millis();
    if (now - noticeWindowStartMs >= WINDOW_MS) {
      noticeWindowStartMs = now;
      noticesInWindow = 0;
    }
    noticesInWindow++;
    if (noticesInWindow <= MAX_NOTICES_PER_SECOND) {
      delegate.serverStated(server, change, limitPerSecond, restMs);
    }
  }

  /**
   * Logs a suspicion only on the VM that observed it, since all VMs receive each one; a quarantine
   * is logged on every VM.
   */
  @Override
  public void suspicionChanged(Suspicion suspicion) {
    if (suspicion.seenHere() || suspicion.change() == Change.QUARANTINED) {
      delegate.suspicionChanged(suspicion);
    }
  }

  @Override
  public void ejected(String server, String why) {
    delegate.ejected(server, why);
  }

  @Override
  public void configApplied(long version, long revision) {
    delegate.configApplied(version, revision);
  }

  @Override
  public void admissionChanged(String service, boolean isLimited, double minShare, String why) {
    delegate.admissionChanged(service, isLimited, minShare, why);
  }

  @Override
  public void evacuationChanged(String dataCentre, boolean begins, long durationMs) {
    delegate.evacuationChanged(dataCentre, begins, durationMs);
  }

  @Override
  public void weightsPublished(
      String model, long version, long revision, UpdateSource source, long agoMs) {
    delegate.weightsPublished(model, version, revision, source, agoMs);
  }
}
