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
package org.landingtrack.internal.gateway;

import dagger.Component;
import jakarta.inject.Singleton;
import org.landingtrack.internal.admission.TeamLimiter;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.caller.CallerApi;
import org.landingtrack.internal.caller.InFlightRequests;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.dispatch.ServiceLimiters;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.routing.ServerTable;
import org.landingtrack.internal.tls.TlsRenewal;
import org.landingtrack.internal.wiring.ProcessModule;

/** Creates the objects of one gateway process, by dependency injection. */
@Singleton
@Component(modules = {ProcessModule.class, GatewayModule.class})
interface GatewayComponent {
  Metrics metrics();

  TlsRenewal tls();

  ConfigReplica replica();

  ControllerLink controllerLink();

  PeerClient peerClient();

  TeamLimiter teamLimiter();

  ServiceLimiters serviceLimiters();

  ServerTable serverTable();

  InFlightRequests inFlight();

  CallerApi callerApi();
}
