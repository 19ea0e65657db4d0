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

/**
 * An immutable snapshot of a backend server for one routing decision.
 *
 * @param weightVersion the weight version that it last reported; empty if unknown
 * @param inFlight requests of this gateway in flight at the server
 * @param pendingTokens estimated prompt tokens of this gateway's requests that have no first token
 *     yet
 * @param report the last load report
 * @param sentSinceReportTokens estimated prompt tokens that this gateway sent since that report
 * @param msPerToken learned time to compute one prompt token, in milliseconds
 * @param nameHash {@link Hashes#placement(String)} of the name, computed once for many decisions
 * @param capacityShare capacity share: 1 for a healthy server, less during slow start or after a
 *     refusal, 0 if ejected or leaving
 */
public record ServerSnapshot(
    String name,
    String dataCentre,
    int maxConcurrent,
    String weightVersion,
    int inFlight,
    long pendingTokens,
    LoadReport report,
    long sentSinceReportTokens,
    double msPerToken,
    double capacityShare,
    long nameHash) {

  /** Creates a snapshot and computes the hash of its name. */
  public ServerSnapshot(
      String name,
      String dataCentre,
      int maxConcurrent,
      String weightVersion,
      int inFlight,
      long pendingTokens,
      LoadReport report,
      long sentSinceReportTokens,
      double msPerToken,
      double share) {
    this(
        name,
        dataCentre,
        maxConcurrent,
        weightVersion,
        inFlight,
        pendingTokens,
        report,
        sentSinceReportTokens,
        msPerToken,
        share,
        Hashes.placement(name));
  }

  /** Returns true if the server may get new requests. */
  public boolean isUsable() {
    return capacityShare > 0;
  }
}
