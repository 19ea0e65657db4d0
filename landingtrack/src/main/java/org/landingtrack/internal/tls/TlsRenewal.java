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
package org.landingtrack.internal.tls;

import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Metrics;

/** A process's TLS, if its settings name any, kept in step with the files. Thread-safe. */
public final class TlsRenewal implements AutoCloseable {
  private static final long CHECK_MS = 1_000;
  private static final int RING = 4;

  private final @Nullable TlsIdentities identities;
  private final @Nullable Duty duty;

  private TlsRenewal(@Nullable TlsIdentities identities) {
    this.identities = identities;
    this.duty = identities == null ? null : Duty.start("tls", RING);
  }

  /** Loads the files and looks for newer ones each second; null means no TLS. */
  public static TlsRenewal start(@Nullable TlsFiles files, Metrics metrics) {
    if (files == null) {
      return new TlsRenewal(null);
    }
    TlsIdentities identities = TlsIdentities.load(files);
    TlsRenewal renewal = new TlsRenewal(identities);
    if (renewal.duty != null) {
      renewal.duty.every(CHECK_MS, identities::reloadIfChanged);
    }
    metrics.gauge(
        "landingtrack_certificate_expires_seconds",
        "Unix time at which the own certificate ends.",
        () -> identities.expiresAt().getEpochSecond());
    return renewal;
  }

  /** Returns the identities; empty without TLS. */
  public Optional<TlsIdentities> identities() {
    return Optional.ofNullable(identities);
  }

  /** Returns the context; empty without TLS. */
  public Optional<SSLContext> context() {
    return identities().map(TlsIdentities::context);
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }
}
