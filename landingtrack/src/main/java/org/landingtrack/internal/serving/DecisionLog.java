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

import org.landingtrack.ErrorKind;
import org.landingtrack.internal.quarantine.Quarantine.Suspicion;
import org.landingtrack.internal.serving.ServingState.UpdateSource;
import org.landingtrack.internal.streams.OriginSearchResult;

/**
 * Receives each decision about a request and each change of this VM's view of servers,
 * configuration and weights. Called on the event loop.
 */
public interface DecisionLog {
  /** Called when the search for the origin of a stream that a caller resumes has ended. */
  void originSearched(RequestRun run, OriginSearchResult found);

  /** Called when a request is sent to a backend server. */
  void routed(RequestRun run, RoutingDecision facts);

  /**
   * A routing decision with the figures that it is based on.
   *
   * @param ageMs the age of the request at the decision
   * @param attempt the number of the attempt, from 1
   * @param candidates the number of eligible servers
   * @param costMs the expected time to the first byte of the response, plus the delay that the
   *     request causes to others
   * @param expectedMs the expected time to the first byte of the response
   * @param pendingTokens the prompt tokens that the server has still to process, as far as this VM
   *     knows
   * @param lagMs the delay of the server's responses beyond what known work explains
   * @param memoryShare the share of the engine's KV cache that its requests need, this one included
   * @param promptTokens the tokens of the prompt
   * @param cachedTokens the leading tokens that the server probably has in its prefix cache
   * @param fetchedTokens the tokens after these that the server fetches from elsewhere
   * @param transfers the prompt parts that are fetched and saved
   * @param requiredWeights the weight version that the server must have, or 0 if it does not matter
   * @param newestWeights the newest known weight version, or 0
   * @param newestWeightsAgeMs the time since that version was published
   * @param configVersion the version of the configuration that the decision is based on
   * @param softwareVersion the software version of the server
   * @param resumeAfter the id of the last event that the caller has of a resumed stream, or ""
   * @param resumes the id of the request with which the caller says that the stream began, or ""
   */
  record RoutingDecision(
      String server,
      long ageMs,
      int attempt,
      int candidates,
      double costMs,
      double expectedMs,
      long pendingTokens,
      double lagMs,
      double memoryShare,
      int promptTokens,
      int cachedTokens,
      int fetchedTokens,
      PartTransfers transfers,
      long requiredWeights,
      long newestWeights,
      long newestWeightsAgeMs,
      long configVersion,
      String softwareVersion,
      String resumeAfter,
      String resumes) {}

  /** Called when an attempt ends without a response for the caller. */
  void attemptFailed(RequestRun run, String server, String outcome, String why);

  /**
   * Called when an attempt ends without a response and the server may have run the request, or may
   * have crashed while running it. The log line includes the request's digest, which identifies the
   * request when its caller retries it.
   */
  void attemptInDoubt(RequestRun run, String server, String outcome, String why);

  /** Called when a backend server has answered a request completely, as one body or a stream. */
  void answered(RequestRun run, String server, int status, long firstMs, long totalMs);

  /** Called when landingtrack itself answers a request with an error. */
  void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs);

  /** Called when a request ends otherwise: the caller disconnected, or a stream was aborted. */
  void aborted(RequestRun run, String server, String why);

  /** Called when this VM's view of a backend server changes. */
  void serverChanged(String change, ServerEntry entry, long revision);

  /**
   * Called when a server states in a response that it sets or lifts a rate limit, asks for a
   * backoff, or is leaving, and when its notice cannot be read.
   *
   * @param change what it states, as written to the log
   * @param limitPerSecond the rate limit that it sets, in requests per second, or 0
   * @param restMs the backoff that it asks for, in milliseconds, or 0
   */
  void serverStated(ServerEntry server, String change, double limitPerSecond, long restMs);

  /** Called when a request is blamed for another server crash, is quarantined, or is cleared. */
  void suspicionChanged(Suspicion suspicion);

  /** Called when a server is ejected and gets no requests for a while. */
  void ejected(String server, String why);

  /**
   * Called when admission control starts to limit a service, changes the admitted share, or stops.
   *
   * @param isLimited true if the service has too little capacity for its demand
   * @param minShare the admitted share of the least urgent requests, from 0 to 1
   * @param why the figures that the share is derived from
   */
  void admissionChanged(String service, boolean isLimited, double minShare, String why);

  /** Called when a configuration comes into force. */
  void configApplied(long version, long revision);

  /**
   * Called when the evacuation of a data centre begins or ends.
   *
   * @param durationMs how long this VM knew of the evacuation when it ends; 0 when it begins
   */
  void evacuationChanged(String dataCentre, boolean begins, long durationMs);

  /**
   * Called when this VM learns of a published weight version of a model.
   *
   * @param source how this VM learned of it
   * @param agoMs the time since it was published, when this VM learns of it
   */
  void weightsPublished(String model, long version, long revision, UpdateSource source, long agoMs);
}
