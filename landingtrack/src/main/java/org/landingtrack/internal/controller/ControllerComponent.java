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
package org.landingtrack.internal.controller;

import dagger.Component;
import jakarta.inject.Singleton;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.claim.ClaimShards;
import org.landingtrack.internal.config.ConfigFeed;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.directory.FeedFollower;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.explain.ExplanationStore;
import org.landingtrack.internal.kept.KvExporter;
import org.landingtrack.internal.membership.MembershipService;
import org.landingtrack.internal.operator.CatalogWriter;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerServer;
import org.landingtrack.internal.platform.HttpObjectApi;
import org.landingtrack.internal.tls.TlsRenewal;
import org.landingtrack.internal.weights.DataCentreRollout;
import org.landingtrack.internal.wiring.ProcessModule;

/** Creates the objects of one controller process, by dependency injection. */
@Singleton
@Component(modules = {ProcessModule.class, ControllerModule.class})
interface ControllerComponent {
  Metrics metrics();

  TlsRenewal tls();

  HttpObjectApi objectApi();

  PeerServer peerServer();

  PeerClient peerClient();

  MembershipService membership();

  ConfigReplica replica();

  ConfigFeed configFeed();

  PrefixDirectory prefixDirectory();

  KvExporter kvCacheExporter();

  FeedFollower feedFollower();

  ClaimShards claimShards();

  ExplanationStore explanationStore();

  GatewayRevisions gatewayRevisions();

  LeavingServers leavingServers();

  CatalogWriter catalogWriter();

  DataCentreRollout dataCentreRollout();

  PeerHandlers peerHandlers();
}
