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
package org.landingtrack.internal.quarantine;

import java.util.List;

/**
 * Report on a request that was in flight at servers when these crashed, as VMs exchange it. Two
 * reports on one request merge to the union of both, so neither their order nor repetition matters.
 *
 * @param crashedServers hashes of the crashed servers' incarnations
 * @param clearedServers those of them that no longer count, since the request succeeded elsewhere
 *     later
 * @param ageMs time since the last crash, in ms
 * @param saved true if the platform's store has the request
 */
public record SuspectReport(
    RequestDigest digest,
    List<Long> crashedServers,
    List<Long> clearedServers,
    long ageMs,
    boolean saved) {
  public SuspectReport {
    crashedServers = List.copyOf(crashedServers);
    clearedServers = List.copyOf(clearedServers);
  }
}
