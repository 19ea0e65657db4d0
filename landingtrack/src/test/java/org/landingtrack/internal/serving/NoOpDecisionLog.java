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

/** Discards all decisions; for simulations of whole fleets, whose log lines nobody reads. */
final class NoOpDecisionLog implements DecisionLog {
  @Override
  public void originSearched(RequestRun run, OriginSearchResult found) {}

  @Override
  public void routed(RequestRun run, RoutingDecision decision) {}

  @Override
  public void attemptFailed(RequestRun run, String server, String outcome, String why) {}

  @Override
  public void attemptInDoubt(RequestRun run, String server, String outcome, String why) {}

  @Override
  public void answered(RequestRun run, String server, int status, long firstMs, long totalMs) {}

  @Override
  public void refused(RequestRun run, ErrorKind kind, String why, long retryAfterMs) {}

  @Override
  public void aborted(RequestRun run, String server, String why) {}

  @Override
  public void serverChanged(String change, ServerEntry entry, long revision) {}

  @Override
  public void serverStated(ServerEntry server, String change, double limitPerSecond, long restMs) {}

  @Override
  public void suspicionChanged(Suspicion suspicion) {}

  @Override
  public void ejected(String server, String why) {}

  @Override
  public void configApplied(long version, long revision) {}

  @Override
  public void admissionChanged(String service, boolean isLimited, double minShare, String why) {}

  @Override
  public void evacuationChanged(String dataCentre, boolean begins, long durationMs) {}

  @Override
  public void weightsPublished(
      String model, long version, long revision, UpdateSource source, long agoMs) {}
}
