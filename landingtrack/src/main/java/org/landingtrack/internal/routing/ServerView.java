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
 * A backend server as one decision sees it.
 *
 * @param weightVersion the version that it was last heard to have; empty if unknown
 * @param inFlight requests that this gateway has there now
 * @param pendingTokens prompt tokens that this gateway sent there and that have not brought a first
 *     token yet
 * @param report the last load report
 * @param sentSinceReportTokens prompt tokens that this gateway sent since then
 * @param msPerToken observed time to compute one prompt token
 * @param nameHash {@link Hashes#placement(String)} of the name, made once for many decisions
 * @param share 1 for a healthy server; less while it is warming up after a failure; 0 if ejected
 */
public record ServerView(
    String name,
    String dataCentre,
    int maxConcurrent,
    String weightVersion,
    int inFlight,
    long pendingTokens,
    LoadReport report,
    long sentSinceReportTokens,
    double msPerToken,
    double share,
    long nameHash) {

  /** Creates a view whose name is hashed now. */
  public ServerView(
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

  /** Returns true if the server may get new work. */
  public boolean isUsable() {
    return share > 0;
  }
}
