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

import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a server may get a request, by rules that apply regardless of routing cost. The
 * server's own state, such as leaving or ejected, is handled by {@link ServerRegistry}; the weights
 * that it must have, by {@link AttemptPlanner}. Used on the event loop only.
 */
final class Eligibility {
  private final EventLoop loop;
  private final Evacuations evacuations;
  private final ColdServers cold;
  private final LimitedServers limited;
  private final BrittleServers brittle;
  private final Predicate<Backend> ended;
  private final Map<String, String> regions;

  /**
   * Conditions that apply to one request.
   *
   * @param tried ids of servers to which the request was already sent
   * @param allowedRegions regions in which the request may run
   * @param continuesStream true if the request continues a stream
   * @param softwareVersion the software version that began that stream, or null if it is not known
   */
  record Conditions(
      Set<String> tried,
      AllowedRegions allowedRegions,
      ServiceInfo service,
      boolean continuesStream,
      @Nullable String softwareVersion) {
    /** Returns true if a server has the software version that the request needs. */
    boolean allowsSoftware(Backend backend, long nowMs) {
      boolean isSame =
          softwareVersion != null && softwareVersion.equals(backend.softwareVersion(nowMs));
      return !continuesStream || isSame;
    }
  }

  /**
   * Creates the rules.
   *
   * @param ended returns true for server incarnations that ended
   * @param regions the region of each data centre
   */
  Eligibility(
      EventLoop loop,
      Evacuations evacuations,
      ColdServers cold,
      LimitedServers limited,
      BrittleServers brittle,
      Predicate<Backend> ended,
      Map<String, String> regions) {
    this.loop = loop;
    this.evacuations = evacuations;
    this.cold = cold;
    this.limited = limited;
    this.brittle = brittle;
    this.ended = ended;
    this.regions = Map.copyOf(regions);
  }

  /** Returns why a server may not get a request now, or null if it may. */
  @Nullable IneligibleReason ineligibleReason(Backend backend, Conditions terms) {
    ServerEntry entry = backend.entry();
    if (terms.tried().contains(entry.id())) {
      return IneligibleReason.TRIED;
    }
    if (!terms.allowsSoftware(backend, loop.millis())) {
      return IneligibleReason.OTHER_SOFTWARE;
    }
    if (terms.continuesStream() && backend.isRecentlyRefused(loop.millis())) {
      return IneligibleReason.REJECTED;
    }
    if (ended.test(backend)) {
      return IneligibleReason.ENDED;
    }
    if (evacuations.checkEvacuated(entry.dataCentre())) {
      return IneligibleReason.EVACUATED;
    }
    if (!isAllowedDataCentre(entry.dataCentre(), terms.allowedRegions())) {
      return IneligibleReason.NOT_HOME;
    }
    if (backend.backoff().isActive(loop.millis())) {
      return IneligibleReason.RESTING;
    }
    if (!brittle.maySend(backend)) {
      return IneligibleReason.FULL;
    }
    if (!cold.maySend(backend, terms.service())) {
      return IneligibleReason.COLD;
    }
    return limited.maySend(backend) ? null : IneligibleReason.LIMITED;
  }

  /** Returns true if a request may run, or its cached state may be stored, in a data centre. */
  boolean isAllowedDataCentre(String dataCentre, AllowedRegions allowed) {
    return allowed.allows(regions.get(dataCentre));
  }
}
