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
package org.landingtrack.internal.overload;

/**
 * A request on which admission control decides.
 *
 * @param id the identifier of this attempt of the caller
 * @param service the name of the service that is called
 * @param route the name of the route that the request matches
 * @param team the caller's team, or an empty text
 * @param rank the priority rank; 0 is the most urgent
 * @param size the cost at a server: tokens of KV cache memory, or the same value for each request
 * @param deadlineMs how long the caller waits for the answer, as it states; 0 if it states nothing
 * @param remainingMs the remaining time until this VM aborts the request
 */
public record AdmissionRequest(
    String id,
    String service,
    String route,
    String team,
    int rank,
    long size,
    long deadlineMs,
    long remainingMs) {
  /** The least urgent rank that is distinguished; higher ranks are treated like this one. */
  public static final int LAST_RANK = Demand.RANKS - 1;
}
