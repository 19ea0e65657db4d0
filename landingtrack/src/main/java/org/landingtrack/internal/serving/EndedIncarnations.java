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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.loads.FleetTallies;
import org.landingtrack.internal.loads.Tally;
import org.landingtrack.internal.loads.TallyTopic;

/**
 * Server incarnations that have ended although their entries remain. A VM notices this when another
 * incarnation answers at the address. VMs report such incarnations to each other; otherwise each VM
 * would waste an attempt of a request on each of these servers. An entry disappears within seconds
 * of the end, and the reports stop after that. Costs nothing while no server ended, and 11 bytes
 * per incarnation in each message otherwise. Used on the event loop only.
 */
final class EndedIncarnations {
  /** How long an ended incarnation is reported, which is longer than its entry remains. */
  static final long REPORT_MS = 6_000;

  /**
   * Maximum number of remembered incarnations; more are not expected to end at once in any planned
   * deployment.
   */
  private static final int MAX_INCARNATIONS = 1_024;

  private final EventLoop loop;
  private final Map<Long, Long> endedAtMs = new HashMap<>();
  private final FleetTallies fleetTallies;

  EndedIncarnations(EventLoop loop, ServingState state) {
    this.loop = loop;
    this.fleetTallies = state.registerTallies(TallyTopic.ENDED_INCARNATIONS, this::localTallies);
  }

  /** Notes that another incarnation answered at the address of this one. */
  void markEnded(Backend backend) {
    if (endedAtMs.size() < MAX_INCARNATIONS) {
      endedAtMs.put(backend.incarnationHash(), loop.millis());
    }
  }

  /** Returns true if another VM reports that an incarnation has ended. */
  boolean isEnded(Backend backend) {
    return fleetTallies.others(backend.incarnationHash()).count(0) > 0;
  }

  private List<Tally> localTallies() {
    if (endedAtMs.isEmpty()) {
      return List.of();
    }
    endedAtMs.values().removeIf(atMs -> loop.millis() - atMs > REPORT_MS);
    List<Tally> reports = new ArrayList<>();
    endedAtMs.keySet().forEach(start -> reports.add(new Tally(start, 1)));
    return reports;
  }
}
