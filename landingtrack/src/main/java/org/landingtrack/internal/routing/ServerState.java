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
 * What one gateway observed of a backend server: its load, its weight version, its health
 * (ejection, slow start, backoff after refusals) and its learned prefill speed. Times are in
 * milliseconds of the monotonic clock. Thread-safe.
 */
public final class ServerState {
  /** Consecutive failures that eject a server. */
  private static final int FAILURES_TO_EJECT = 3;

  /**
   * Duration of the first ejection; each further one without a success between lasts twice as long.
   */
  private static final long INITIAL_EJECTION_MS = 1_000;

  private static final long MAX_EJECTION_MS = 30_000;

  /** Time after a refusal for which a server counts with a reduced capacity share. */
  private static final long REFUSAL_BACKOFF_MS = 300;

  /** Capacity share of a server that refused a request a moment ago. */
  private static final double REFUSAL_CAPACITY_SHARE = 0.1;

  /** Time for which a server that announced that it is leaving gets no new requests. */
  private static final long LEAVING_EXCLUSION_MS = 60_000;

  /** Duration of the slow start after an ejection. */
  private static final long SLOW_START_MS = 10_000;

  /** Capacity share at the beginning of a slow start; it grows linearly to 1. */
  private static final double SLOW_START_INITIAL_SHARE = 0.25;

  /** Weight of a sample that is faster than the learned speed. */
  private static final double FASTER_SAMPLE_WEIGHT = 0.5;

  /** Largest growth of the learned time per token by one slower sample. */
  private static final double MAX_SLOWDOWN_FACTOR = 1.05;

  /** Answers with fewer computed tokens are no sample: network time dominates them. */
  private static final long MIN_SAMPLE_TOKENS = 512;

  /** Time after which a server that reported another weight version may have changed it. */
  private static final long VERSION_FRESH_MS = 1_000;

  /** Assumed time to compute a prompt token before the first sample. */
  private static final double INITIAL_MS_PER_TOKEN = 0.05;

  private final NamedBackendServer server;
  private final long nameHash;
  private String weightVersion = "";
  private long weightVersionAtMs = Long.MIN_VALUE;
  private int inFlight;
  private long pendingTokens;
  private long sentSinceReportTokens;
  private LoadReport report = LoadReport.NONE;
  private double msPerToken = INITIAL_MS_PER_TOKEN;
  private int failures;
  private int ejections;
  private long ejectedUntilMs = Long.MIN_VALUE;
  private long backoffUntilMs = Long.MIN_VALUE;
  private long slowStartUntilMs = Long.MIN_VALUE;

  public ServerState(NamedBackendServer server) {
    this.server = server;
    this.nameHash = Hashes.placement(server.name());
  }

  /**
   * Creates the state of a server whose configuration changed. Keeps the weight version, the load
   * report and the learned speed; health and the counts of requests in flight start anew.
   */
  synchronized ServerState withConfiguration(NamedBackendServer changed) {
    ServerState copy = new ServerState(changed);
    copy.weightVersion = weightVersion;
    copy.weightVersionAtMs = weightVersionAtMs;
    copy.msPerToken = msPerToken;
    copy.report = report;
    return copy;
  }

  /** Returns the server's configuration. */
  public NamedBackendServer server() {
    return server;
  }

  /** Records a request sent to the server, with its estimated prompt tokens to compute. */
  public synchronized void recordSent(long tokens) {
    inFlight++;
    pendingTokens += tokens;
    sentSinceReportTokens += tokens;
  }

  /** Records that a request got its first token or ended without one. */
  public synchronized void recordPrefillEnd(long tokens) {
    pendingTokens = Math.max(0, pendingTokens - tokens);
  }

  /** Records the end of a request, whatever its outcome. */
  public synchronized void recordEnd() {
    inFlight--;
  }

  /** Records a load report that arrived with an answer. */
  public synchronized void recordLoadReport(LoadReport newReport) {
    report = newReport;
    sentSinceReportTokens = 0;
  }

  /** Records the weight version that the server reported. */
  public synchronized void recordWeightVersion(String version, long nowMs) {
    weightVersion = version;
    weightVersionAtMs = nowMs;
  }

  /** Whether a server has a certain weight version, as far as this gateway knows. */
  public enum VersionMatch {
    /** The server last reported this version. */
    YES,
    /** The server has not reported any version yet. */
    NEVER_HEARD,
    /** The server reported another version a while ago; its weights may have been swapped since. */
    STALE,
    /** The server reported another version a moment ago. */
    NO
  }

  /** Returns whether the server has a weight version at a time. */
  public synchronized VersionMatch matchVersion(String version, long nowMs) {
    if (weightVersion.isEmpty()) {
      return VersionMatch.NEVER_HEARD;
    }
    if (weightVersion.equals(version)) {
      return VersionMatch.YES;
    }
    return nowMs - weightVersionAtMs >= VERSION_FRESH_MS ? VersionMatch.STALE : VersionMatch.NO;
  }

  /**
   * Learns the prefill speed of the server from an answer. Requests of other gateways may have been
   * ahead in its queue, so the estimate follows the fastest answers: it falls quickly and rises
   * slowly.
   *
   * @param elapsedMs time from sending the request to its first token
   * @param tokens prompt tokens that the server computed
   */
  public synchronized void recordPrefillTime(double elapsedMs, long tokens) {
    if (tokens < MIN_SAMPLE_TOKENS) {
      return;
    }
    double sample = elapsedMs / tokens;
    msPerToken =
        sample < msPerToken
            ? msPerToken + FASTER_SAMPLE_WEIGHT * (sample - msPerToken)
            : Math.min(sample, msPerToken * MAX_SLOWDOWN_FACTOR);
  }

  /** Returns the learned time to compute one prompt token, in milliseconds. */
  public synchronized double msPerToken() {
    return msPerToken;
  }

  /**
   * Records a complete answer. Resets the failures; starts a slow start if they had ejected the
   * server.
   */
  public synchronized void recordSuccess(long nowMs) {
    if (failures >= FAILURES_TO_EJECT) {
      slowStartUntilMs = nowMs + SLOW_START_MS;
    }
    failures = 0;
    ejections = 0;
  }

  /** Records that the server announced that it is leaving; it gets no new requests for a while. */
  public synchronized void recordLeaving(long nowMs) {
    ejectedUntilMs = Math.max(ejectedUntilMs, nowMs + LEAVING_EXCLUSION_MS);
  }

  /** Records a refusal of a busy or loading server; others are preferred for a moment. */
  public synchronized void recordRefusal(long nowMs) {
    backoffUntilMs = nowMs + REFUSAL_BACKOFF_MS;
  }

  /** Records a failure. Consecutive failures eject the server, each ejection lasting longer. */
  public synchronized void recordFailure(long nowMs) {
    failures++;
    if (failures >= FAILURES_TO_EJECT) {
      long durationMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS << Math.min(ejections, 10));
      ejections++;
      ejectedUntilMs = nowMs + durationMs;
      slowStartUntilMs = nowMs + durationMs + SLOW_START_MS;
    }
  }

  private double capacityShare(long nowMs) {
    if (nowMs < ejectedUntilMs) {
      return 0;
    }
    if (nowMs < backoffUntilMs) {
      return REFUSAL_CAPACITY_SHARE;
    }
    if (nowMs >= slowStartUntilMs) {
      return 1;
    }
    double progress = 1 - (double) (slowStartUntilMs - nowMs) / SLOW_START_MS;
    return SLOW_START_INITIAL_SHARE + (1 - SLOW_START_INITIAL_SHARE) * Math.max(0, progress);
  }

  /** Returns an immutable snapshot of the server for a routing decision. */
  public synchronized ServerSnapshot snapshot(long nowMs) {
    return new ServerSnapshot(
        server.name(),
        server.spec().dataCentre(),
        server.spec().maxConcurrent(),
        weightVersion,
        inFlight,
        pendingTokens,
        report,
        sentSinceReportTokens,
        msPerToken,
        capacityShare(nowMs),
        nameHash);
  }
}
