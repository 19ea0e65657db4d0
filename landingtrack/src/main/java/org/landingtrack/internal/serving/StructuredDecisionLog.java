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
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.landingtrack.internal.serving.ServingState.UpdateSource;
import org.landingtrack.internal.streams.OriginSearchResult;
import org.landingtrack.internal.streams.StreamOrigin;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes decisions as structured log lines. All their field names are defined here. */
public final class StructuredDecisionLog implements DecisionLog {
  private static final Logger requests = LoggerFactory.getLogger("request");
  private static final Logger servers = LoggerFactory.getLogger("servers");
  private static final Logger config = LoggerFactory.getLogger("config");
  private static final Logger quarantine = LoggerFactory.getLogger("quarantine");
  private static final Logger weights = LoggerFactory.getLogger("weights");

  private static LoggingEventBuilder requestEvent(RequestRun run, Level level) {
    return requestEvent(run, level, run.ageMs());
  }

  private static LoggingEventBuilder requestEvent(RequestRun run, Level level, long ageMs) {
    return requests
        .atLevel(level)
        .addKeyValue("requestId", run.request().id())
        .addKeyValue("route", run.routeName())
        .addKeyValue("service", run.service())
        .addKeyValue("team", run.teamName())
        .addKeyValue("ageMs", ageMs);
  }

  @Override
  public void originSearched(RequestRun run, OriginSearchResult found) {
    StreamOrigin origin = found.origin();
    LoggingEventBuilder event =
        requestEvent(run, Level.INFO)
            .addKeyValue("resumes", String.valueOf(run.request().resumes()))
            .addKeyValue("source", found.source())
            .addKeyValue("searchMs", found.tookMs());
    if (!found.vm().isEmpty()) {
      event = event.addKeyValue("replyOf", found.vm());
    }
    if (origin != null) {
      event =
          event
              .addKeyValue("originService", origin.service())
              .addKeyValue("softwareVersion", origin.softwareVersion());
    }
    event.log("stream origin");
  }

  @Override
  public void routed(RequestRun run, RoutingDecision decision) {
    LoggingEventBuilder event =
        requestEvent(run, Level.INFO, decision.ageMs())
            .addKeyValue("server", decision.server())
            .addKeyValue("softwareVersion", decision.softwareVersion());
    if (!decision.resumeAfter().isEmpty()) {
      event =
          event
              .addKeyValue("resumeAfter", decision.resumeAfter())
              .addKeyValue("resumes", decision.resumes());
    }
    event
        .addKeyValue("attempt", decision.attempt())
        .addKeyValue("candidates", decision.candidates())
        .addKeyValue("costMs", Math.round(decision.costMs()))
        .addKeyValue("expectedMs", Math.round(decision.expectedMs()))
        .addKeyValue("pendingTokens", decision.pendingTokens())
        .addKeyValue("lagMs", Math.round(decision.lagMs()))
        .addKeyValue("memoryPercent", Math.round(100 * decision.memoryShare()))
        .addKeyValue("promptTokens", decision.promptTokens())
        .addKeyValue("keptTokens", decision.cachedTokens())
        .addKeyValue("fetchedTokens", decision.fetchedTokens())
        .addKeyValue("fetch", decision.transfers().fetch())
        .addKeyValue("save", decision.transfers().save())
        .addKeyValue("weights", decision.requiredWeights())
        .addKeyValue("newestWeights", decision.newestWeights())
        .addKeyValue("newestForMs", decision.newestWeightsAgeMs())
        .addKeyValue("configVersion", decision.configVersion())
        .log("routed");
  }

  @Override
  public void attemptFailed(RequestRun run, String server, String outcome, String why) {
    requestEvent(run, Level.INFO)
        .addKeyValue("server", server)
        .addKeyValue("outcome", outcome)
        .addKeyValue("why", why)
        .log("try failed");
  }

  @Override
  public void attemptInDoubt(RequestRun run, String server, String outcome, String why) {
    requestEvent(run, Level.INFO)
        .addKeyValue("server", server)
        .addKeyValue("outcome", outcome)
        .addKeyValue("why", why)
        .addKeyValue("digest", run.suspectKey().hex())
        .addKeyValue("promptParts", promptParts(run.request().prompt()))
        .log("try failed");
  }

  /** Returns the keys of the parts of a prompt, as the caller gives them. */
  private static String promptParts(@Nullable Prompt prompt) {
    List<String> keys = new ArrayList<>();
    if (prompt != null) {
      prompt.parts().forEach(part -> keys.add(part.key()));
    }
    return String.join(",", keys);
  }

  @Override
  public void answered(RequestRun run, String server, int status, long firstMs, long totalMs) {
    requestEvent(run, Level.INFO)
        .addKeyValue("server", server)
        .addKeyValue("status", status)
        .addKeyValue("firstMs", firstMs)
        .log("answered");
  }

  @Override
  public void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs) {
    requestEvent(run, Level.INFO)
        .addKeyValue("kind", kind)
        .addKeyValue("why", why)
        .addKeyValue("retryAfterMs", retryAfterMs)
        .log("refused");
  }

  @Override
  public void aborted(RequestRun run, String server, String why) {
    requestEvent(run, Level.INFO).addKeyValue("server", server).addKeyValue("why", why).log("cut");
  }

  @Override
  public void serverChanged(String change, ServerEntry entry, long revision) {
    servers
        .atInfo()
        .addKeyValue("server", entry.id())
        .addKeyValue("service", entry.service())
        .addKeyValue("address", entry.address())
        .addKeyValue("softwareVersion", String.valueOf(entry.softwareVersion()))
        .addKeyValue("weights", entry.weightVersions())
        .addKeyValue("revision", revision)
        .log("server " + change);
  }

  @Override
  public void serverStated(ServerEntry server, String change, double limitPerSecond, long restMs) {
    servers
        .atInfo()
        .addKeyValue("server", server.id())
        .addKeyValue("service", server.service())
        .addKeyValue("limitPerSecond", limitPerSecond)
        .addKeyValue("restMs", restMs)
        .log("server says: " + change);
  }

  @Override
  public void suspicionChanged(Suspicion suspicion) {
    boolean isPart = suspicion.key().isPromptPart();
    quarantine
        .atInfo()
        .addKeyValue("digest", suspicion.key().hex())
        .addKeyValue("bodyBytes", suspicion.key().bodyBytes())
        .addKeyValue("ends", suspicion.crashCount())
        .addKeyValue("seenHere", suspicion.seenHere())
        .log(
            (isPart ? "prompt part " : "request ")
                + suspicion.change().name().toLowerCase(Locale.ROOT));
  }

  @Override
  public void ejected(String server, String why) {
    servers.atInfo().addKeyValue("server", server).addKeyValue("why", why).log("server ejected");
  }

  @Override
  public void configApplied(long version, long revision) {
    config
        .atInfo()
        .addKeyValue("version", version)
        .addKeyValue("revision", revision)
        .log("configuration in force");
  }

  @Override
  public void admissionChanged(String service, boolean isLimited, double minShare, String why) {
    servers
        .atInfo()
        .addKeyValue("service", service)
        .addKeyValue("level", minShare)
        .addKeyValue("why", why)
        .log(isLimited ? "admission limited" : "admission open");
  }

  @Override
  public void evacuationChanged(String dataCentre, boolean begins, long durationMs) {
    servers
        .atInfo()
        .addKeyValue("dataCentre", dataCentre)
        .addKeyValue("stoodMs", durationMs)
        .log(begins ? "evacuation begins" : "evacuation ends");
  }

  @Override
  public void weightsPublished(
      String model, long version, long revision, UpdateSource source, long agoMs) {
    weights
        .atInfo()
        .addKeyValue("model", model)
        .addKeyValue("version", version)
        .addKeyValue("revision", revision)
        .addKeyValue("heardBy", source)
        .addKeyValue("agoMs", agoMs)
        .log("weights named");
  }
}
