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
package org.landingtrack.internal.routing;

import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;

/**
 * What one gateway has seen of a backend server: an aggregate with its own rules for health and for
 * calibration. Thread-safe.
 */
public final class ServerState {
  private static final int FAILURES_TO_EJECT = 3;
  private static final long FIRST_EJECTION_MS = 1_000;
  private static final long MAX_EJECTION_MS = 30_000;
  private static final long REFUSED_MS = 300;
  private static final double REFUSED_SHARE = 0.1;
  private static final long LEAVING_MS = 60_000;
  private static final long WARM_UP_MS = 10_000;
  private static final double WARM_UP_SHARE = 0.25;
  private static final double FASTER_SMOOTHING = 0.5;
  private static final double SLOWER_FACTOR = 1.05;

  /** Answers with less to compute say more about the network than about the server. */
  private static final long MIN_TOKENS_TO_LEARN = 512;

  /** A server that said it has another weight version may have changed it after so long. */
  private static final long VERSION_FRESH_MS = 1_000;

  /** Assumed time to compute a prompt token before any answer was seen. */
  private static final double FIRST_MS_PER_TOKEN = 0.05;

  private final NamedBackendServer server;
  private final long nameHash;
  private String weightVersion = "";
  private long weightVersionAtMs = Long.MIN_VALUE;
  private int inFlight;
  private long pendingTokens;
  private long sentSinceReportTokens;
  private LoadReport report = LoadReport.NONE;
  private double msPerToken = FIRST_MS_PER_TOKEN;
  private int failures;
  private int ejections;
  private long ejectedUntilMs = Long.MIN_VALUE;
  private long refusedUntilMs = Long.MIN_VALUE;
  private long warmUntilMs = Long.MIN_VALUE;

  public ServerState(NamedBackendServer server) {
    this.server = server;
    this.nameHash = Hashes.placement(server.name());
  }

  /** Creates the state of a server whose configuration changed; what was seen of it stays. */
  synchronized ServerState withConfiguration(NamedBackendServer changed) {
    ServerState next = new ServerState(changed);
    next.weightVersion = weightVersion;
    next.weightVersionAtMs = weightVersionAtMs;
    next.msPerToken = msPerToken;
    next.report = report;
    return next;
  }

  /** Returns the server's configuration. */
  public NamedBackendServer server() {
    return server;
  }

  /** Notes a request that is sent, with the prompt tokens that it adds by estimate. */
  public synchronized void sent(long tokens) {
    inFlight++;
    pendingTokens += tokens;
    sentSinceReportTokens += tokens;
  }

  /** Notes that a request has its first token, or ended without one. */
  public synchronized void prefillEnded(long tokens) {
    pendingTokens = Math.max(0, pendingTokens - tokens);
  }

  /** Notes that a request ended in any way. */
  public synchronized void ended() {
    inFlight--;
  }

  /** Notes a load report that came with an answer. */
  public synchronized void reported(LoadReport newReport) {
    report = newReport;
    sentSinceReportTokens = 0;
  }

  /** Notes the weight version that the server says it has. */
  public synchronized void hasWeightVersion(String version, long nowMs) {
    weightVersion = version;
    weightVersionAtMs = nowMs;
  }

  /** Whether a server has a weight version, as far as this gateway knows. */
  public enum HasVersion {
    YES,
    /** It was never heard to have any version. */
    NEVER_HEARD,
    /** It had another one a while ago; weights may have been swapped since. */
    STALE,
    NO
  }

  /** Returns whether the server has a weight version now. */
  public synchronized HasVersion hasVersion(String version, long nowMs) {
    if (weightVersion.isEmpty()) {
      return HasVersion.NEVER_HEARD;
    }
    if (weightVersion.equals(version)) {
      return HasVersion.YES;
    }
    return nowMs - weightVersionAtMs >= VERSION_FRESH_MS ? HasVersion.STALE : HasVersion.NO;
  }

  /**
   * Learns the speed of the server from an answer. Other gateways' requests may have been ahead, so
   * the speed follows the quickest answers: fast downwards, slowly upwards.
   */
  public synchronized void observed(double elapsedMs, long tokens) {
    if (tokens < MIN_TOKENS_TO_LEARN) {
      return;
    }
    double sample = elapsedMs / tokens;
    msPerToken =
        sample < msPerToken
            ? msPerToken + FASTER_SMOOTHING * (sample - msPerToken)
            : Math.min(sample, msPerToken * SLOWER_FACTOR);
  }

  /** Returns the time to compute one prompt token, as learned. */
  public synchronized double msPerToken() {
    return msPerToken;
  }

  /** Notes a request that the server answered. */
  public synchronized void succeeded(long nowMs) {
    if (failures >= FAILURES_TO_EJECT) {
      warmUntilMs = nowMs + WARM_UP_MS;
    }
    failures = 0;
    ejections = 0;
  }

  /** Notes that the server says it is leaving; it gets no new work for a while. */
  public synchronized void leaving(long nowMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + LEAVING_MS);
  }

  /** Notes that the server was too busy or loading; others are preferred for a moment. */
  public synchronized void refused(long nowMs) {
    refusedUntilMs = nowMs + REFUSED_MS;
  }

  /** Notes a failure; several in a row eject the server for a while, longer each time. */
  public synchronized void failed(long nowMs) {
    failures++;
    if (failures >= FAILURES_TO_EJECT) {
      long span = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << Math.min(ejections, 10));
      ejections++;
      ejectedUntilMs = nowMs + span;
      warmUntilMs = nowMs + span + WARM_UP_MS;
    }
  }

  private double share(long nowMs) {
    if (nowMs < ejectedUntilMs) {
      return 0;
    }
    if (nowMs < refusedUntilMs) {
      return REFUSED_SHARE;
    }
    if (nowMs >= warmUntilMs) {
      return 1;
    }
    double progress = 1 - (double) (warmUntilMs - nowMs) / WARM_UP_MS;
    return WARM_UP_SHARE + (1 - WARM_UP_SHARE) * Math.max(0, progress);
  }

  /** Returns the server as a decision sees it now. */
  public synchronized ServerView view(long nowMs) {
    return new ServerView(
        server.name(),
        server.spec().dataCentre(),
        server.spec().maxConcurrent(),
        weightVersion,
        inFlight,
        pendingTokens,
        report,
        sentSinceReportTokens,
        msPerToken,
        share(nowMs),
        nameHash);
  }
}
