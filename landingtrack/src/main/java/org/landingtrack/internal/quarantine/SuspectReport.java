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
 * Report on a request or prompt part that was in flight at servers when these crashed, as VMs
 * exchange it. Two reports on one suspect merge to the union of both, so neither their order nor
 * repetition matters.
 *
 * @param separateCrashes number of crashes that count and were apart in time; 0 for a request
 * @param crashedServers hashes of the crashed servers' incarnations
 * @param clearedServers those of them that no longer count, since the request, or another one with
 *     the part, ended well later
 * @param ageMs time since the last crash, in ms
 * @param saved true if the platform's store has the suspect
 */
public record SuspectReport(
    Charge charge,
    int separateCrashes,
    List<Long> crashedServers,
    List<Long> clearedServers,
    long ageMs,
    boolean saved) {
  private static final int SERVED_BIT = 1;
  private static final int CRASHES_SHIFT = 1;
  private static final int CRASHES_MASK = 0xF;
  private static final int POSITION_SHIFT = 5;
  private static final int MAX_POSITION = 1 << 20;

  public SuspectReport {
    crashedServers = List.copyOf(crashedServers);
    clearedServers = List.copyOf(clearedServers);
  }

  /**
   * Decodes a report from the form in which VMs exchange it.
   *
   * @param detail as {@link #detail} returns it
   */
  public static SuspectReport decode(
      long high,
      long low,
      int detail,
      List<Long> crashedServers,
      List<Long> clearedServers,
      long ageMs,
      boolean saved) {
    if (detail >= 0) {
      Charge request = Charge.ofRequest(new SuspectKey(high, low, detail));
      return new SuspectReport(request, 0, crashedServers, clearedServers, ageMs, saved);
    }
    int bits = -1 - detail;
    Charge part =
        new Charge(
            SuspectKey.ofPromptPart(high, low), bits >> POSITION_SHIFT, (bits & SERVED_BIT) != 0);
    int separate = bits >> CRASHES_SHIFT & CRASHES_MASK;
    return new SuspectReport(part, separate, crashedServers, clearedServers, ageMs, saved);
  }

  /**
   * Returns what the report says of its suspect beside the digest, as one number: the length of a
   * request's body, or a negative number for a prompt part. Releases that know only requests take
   * the latter for the length of a body that no request has.
   */
  public int detail() {
    if (!charge.key().isPromptPart()) {
      return charge.key().bodyBytes();
    }
    int bits = Math.min(charge.position(), MAX_POSITION) << POSITION_SHIFT;
    bits |= Math.min(separateCrashes, CRASHES_MASK) << CRASHES_SHIFT;
    bits |= charge.servedBefore() ? SERVED_BIT : 0;
    return -1 - bits;
  }
}
