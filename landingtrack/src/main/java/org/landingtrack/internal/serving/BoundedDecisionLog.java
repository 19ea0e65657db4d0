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
import org.landingtrack.internal.serving.ServingState.Heard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits the log lines of successful requests. The first {@link #REQUESTS_A_SECOND} requests of
 * each second are logged completely. Lines of further requests are buffered until the request ends;
 * they are written if it fails, and only counted if it succeeds. Not thread-safe: used on the event
 * loop only.
 */
public final class BoundedDecisionLog implements DecisionLog {
  private static final Logger log = LoggerFactory.getLogger("request");

  /**
   * Requests per second that are logged completely: seven times the request rate of a VM on a quiet
   * day. This amounts to about 25 KB of log lines per second.
   */
  static final int REQUESTS_A_SECOND = 100;

  /**
   * Log lines per second about notices of servers, which may differ in each response of a server.
   */
  static final int NOTICES_A_SECOND = 50;

  private static final long SECOND_MS = 1_000;
  private static final int FIRST_FAILURE = 400;

  private final DecisionLog lines;
  private final EventLoop loop;
  private final Map<RequestRun, List<RouteFacts>> held = new HashMap<>();
  private long secondStartMs;
  private int requests;
  private long noticesStartMs;
  private int notices;
  private long leftOut;

  /** Creates a log that forwards what is to be written to {@code lines}. */
  public BoundedDecisionLog(DecisionLog lines, EventLoop loop) {
    this.lines = lines;
    this.loop = loop;
    this.secondStartMs = loop.millis();
  }

  @Override
  public void routed(RequestRun run, RouteFacts decision) {
    List<RouteFacts> earlier = held.get(run);
    if (earlier != null) {
      earlier.add(decision);
      return;
    }
    if (decision.attempt() == 1 && !takePlace()) {
      held.put(run, new ArrayList<>(List.of(decision)));
      return;
    }
    lines.routed(run, decision);
  }

  private boolean takePlace() {
    long now = loop.millis();
    if (now - secondStartMs >= SECOND_MS) {
      secondStartMs = now;
      requests = 0;
      tellLeftOut();
    }
    requests++;
    return requests <= REQUESTS_A_SECOND;
  }

  private void tellLeftOut() {
    if (leftOut > 0) {
      log.atInfo().addKeyValue("requests", leftOut).log("successes left out");
      leftOut = 0;
    }
  }

  private void writeHeld(RequestRun run) {
    List<RouteFacts> buffered = held.remove(run);
    if (buffered != null) {
      buffered.forEach(decision -> lines.routed(run, decision));
    }
  }

  @Override
  public void tryFailed(RequestRun run, String server, String outcome, String why) {
    writeHeld(run);
    lines.tryFailed(run, server, outcome, why);
  }

  @Override
  public void brokeOff(RequestRun run, String server, String outcome, String why) {
    writeHeld(run);
    lines.brokeOff(run, server, outcome, why);
  }

  @Override
  public void answered(RequestRun run, String server, int status, long firstMs, long totalMs) {
    if (status < FIRST_FAILURE && held.remove(run) != null) {
      leftOut++;
      return;
    }
    writeHeld(run);
    lines.answered(run, server, status, firstMs, totalMs);
  }

  @Override
  public void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs) {
    writeHeld(run);
    lines.refused(run, kind, why, retryAfterMs);
  }

  @Override
  public void cut(RequestRun run, String server, String why) {
    writeHeld(run);
    lines.cut(run, server, why);
  }

  @Override
  public void server(String change, ServerEntry entry, long revision) {
    lines.server(change, entry, revision);
  }

  @Override
  public void noticed(ServerEntry server, String change, double limitPerSecond, long restMs) {
    long now = loop.millis();
    if (now - noticesStartMs >= SECOND_MS) {
      noticesStartMs = now;
      notices = 0;
    }
    notices++;
    if (notices <= NOTICES_A_SECOND) {
      lines.noticed(server, change, limitPerSecond, restMs);
    }
  }

  /**
   * Logs a suspicion only on the VM that observed it, since all VMs receive each one; a quarantine
   * is logged on every VM.
   */
  @Override
  public void suspected(Suspicion suspicion) {
    if (suspicion.seenHere() || suspicion.change() == Change.QUARANTINED) {
      lines.suspected(suspicion);
    }
  }

  @Override
  public void ejected(String server, String why) {
    lines.ejected(server, why);
  }

  @Override
  public void config(long version, long revision) {
    lines.config(version, revision);
  }

  @Override
  public void admission(String service, boolean isLimited, double minShare, String why) {
    lines.admission(service, isLimited, minShare, why);
  }

  @Override
  public void evacuation(String dataCentre, boolean begins, long durationMs) {
    lines.evacuation(dataCentre, begins, durationMs);
  }

  @Override
  public void weights(String model, long version, long revision, Heard source, long agoMs) {
    lines.weights(model, version, revision, source, agoMs);
  }
}
