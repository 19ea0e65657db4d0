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

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.landingtrack.internal.serving.ServingState.UpdateSource;
import org.landingtrack.internal.streams.OriginSearchResult;

/**
 * Counts decisions in metrics and forwards them to another log. The number of label values is
 * bounded: they are services, of which a configuration has a few, and fixed sets of outcomes.
 */
public final class MeteredDecisionLog implements DecisionLog {
  private static final double MS_PER_SECOND = 1_000;

  private final DecisionLog delegate;
  private final Counter answered;
  private final Counter refused;
  private final Counter cut;
  private final Counter failedAttempts;
  private final Counter serverChanges;
  private final Counter suspicions;
  private final Histogram firstEventSeconds;
  private final Histogram answerSeconds;

  /** Creates a log that counts in {@code metrics} and forwards to {@code log}. */
  public MeteredDecisionLog(DecisionLog log, Metrics metrics) {
    this.delegate = log;
    this.answered =
        metrics.counter(
            "landingtrack_answers_total", "Responses of backend servers.", "service", "status");
    this.refused =
        metrics.counter(
            "landingtrack_refusals_total",
            "Requests that landingtrack itself answered with an error.",
            "service",
            "kind");
    this.cut =
        metrics.counter(
            "landingtrack_cuts_total",
            "Requests without a complete response: caller disconnected or stream aborted.",
            "service");
    this.failedAttempts =
        metrics.counter(
            "landingtrack_failed_tries_total",
            "Attempts that ended without a response for the caller.",
            "service");
    this.serverChanges =
        metrics.counter(
            "landingtrack_server_changes_total",
            "Changes of backend servers, reported by the store or the servers, and evacuations.",
            "change");
    this.suspicions =
        metrics.counter(
            "landingtrack_suspicions_total",
            "Requests blamed for server crashes, quarantined or cleared.",
            "change");
    this.firstEventSeconds =
        metrics.histogram(
            "landingtrack_first_event_seconds", "Time to the first byte of a response.", "service");
    this.answerSeconds =
        metrics.histogram(
            "landingtrack_answer_seconds", "Time to the end of a response.", "service");
  }

  @Override
  public void originSearched(RequestRun run, OriginSearchResult found) {
    delegate.originSearched(run, found);
  }

  @Override
  public void routed(RequestRun run, RoutingDecision decision) {
    delegate.routed(run, decision);
  }

  @Override
  public void attemptFailed(RequestRun run, String server, String outcome, String why) {
    failedAttempts.labelValues(run.service()).inc();
    delegate.attemptFailed(run, server, outcome, why);
  }

  @Override
  public void attemptInDoubt(RequestRun run, String server, String outcome, String why) {
    failedAttempts.labelValues(run.service()).inc();
    delegate.attemptInDoubt(run, server, outcome, why);
  }

  @Override
  public void answered(RequestRun run, String server, int status, long firstMs, long totalMs) {
    answered.labelValues(run.service(), Integer.toString(status)).inc();
    firstEventSeconds.labelValues(run.service()).observe(firstMs / MS_PER_SECOND);
    answerSeconds.labelValues(run.service()).observe(totalMs / MS_PER_SECOND);
    delegate.answered(run, server, status, firstMs, totalMs);
  }

  @Override
  public void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs) {
    refused.labelValues(run.service(), kind.name()).inc();
    delegate.refused(run, kind, why, retryAfterMs);
  }

  @Override
  public void aborted(RequestRun run, String server, String why) {
    cut.labelValues(run.service()).inc();
    delegate.aborted(run, server, why);
  }

  @Override
  public void serverChanged(String change, ServerEntry entry, long revision) {
    serverChanges.labelValues(change).inc();
    delegate.serverChanged(change, entry, revision);
  }

  @Override
  public void serverStated(ServerEntry server, String change, double limitPerSecond, long restMs) {
    serverChanges.labelValues("says " + change).inc();
    delegate.serverStated(server, change, limitPerSecond, restMs);
  }

  @Override
  public void suspicionChanged(Suspicion suspicion) {
    suspicions.labelValues(suspicion.change().name()).inc();
    delegate.suspicionChanged(suspicion);
  }

  @Override
  public void ejected(String server, String why) {
    serverChanges.labelValues("ejected").inc();
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
    serverChanges.labelValues(begins ? "evacuation begins" : "evacuation ends").inc();
    delegate.evacuationChanged(dataCentre, begins, durationMs);
  }

  @Override
  public void weightsPublished(
      String model, long version, long revision, UpdateSource source, long agoMs) {
    delegate.weightsPublished(model, version, revision, source, agoMs);
  }
}
