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
package org.landingtrack.internal.wiring;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Metrics;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerTransport;
import org.landingtrack.internal.tls.TlsFiles;
import org.landingtrack.internal.tls.TlsRenewal;

/** Provides the objects that gateways and controllers have in common. */
@Module
public final class ProcessModule {
  private final @Nullable TlsFiles tls;

  /**
   * Creates the module.
   *
   * @param tls TLS files of the process; null for plain connections
   */
  public ProcessModule(@Nullable TlsFiles tls) {
    this.tls = tls;
  }

  @Provides
  @Singleton
  Ticker ticker() {
    return Ticker.SYSTEM;
  }

  @Provides
  @Singleton
  Metrics metrics() {
    return new Metrics();
  }

  @Provides
  @Singleton
  TlsRenewal tls(Metrics metrics) {
    return TlsRenewal.start(tls, metrics);
  }

  @Provides
  PeerTransport peerSockets(TlsRenewal renewal) {
    return renewal.context().map(PeerTransport::tls).orElse(PeerTransport.PLAIN);
  }

  @Provides
  @Singleton
  PeerClient peerClient(PeerTransport sockets) {
    return new PeerClient(sockets);
  }

  @Provides
  @Singleton
  ConfigReplica replica() {
    return new ConfigReplica();
  }

  @Provides
  Supplier<Catalog> catalog(ConfigReplica replica) {
    return replica::catalog;
  }
}
