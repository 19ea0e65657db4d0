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
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Metrics;

/**
 * Loads the TLS identity of a process, if its settings name TLS files, and reloads it when the
 * files change. Thread-safe.
 */
public final class TlsRenewal implements AutoCloseable {
  private static final long CHECK_INTERVAL_MS = 1_000;
  private static final int QUEUE_SIZE = 4;

  private final @Nullable ReloadableTlsIdentity identity;
  private final @Nullable BoundedWorker reloader;

  private TlsRenewal(@Nullable ReloadableTlsIdentity tlsIdentity) {
    this.identity = tlsIdentity;
    this.reloader = tlsIdentity == null ? null : BoundedWorker.start("tls", QUEUE_SIZE);
  }

  /** Loads the files and checks for changes each second; null means no TLS. */
  public static TlsRenewal start(@Nullable TlsFiles files, Metrics metrics) {
    if (files == null) {
      return new TlsRenewal(null);
    }
    ReloadableTlsIdentity tlsIdentity = ReloadableTlsIdentity.load(files);
    TlsRenewal renewal = new TlsRenewal(tlsIdentity);
    if (renewal.reloader != null) {
      renewal.reloader.runPeriodically(CHECK_INTERVAL_MS, tlsIdentity::reloadIfChanged);
    }
    metrics.gauge(
        "landingtrack_certificate_expires_seconds",
        "Unix time in seconds at which this process's TLS certificate expires.",
        () -> tlsIdentity.expiresAt().getEpochSecond());
    return renewal;
  }

  /** Returns the current identity; empty without TLS. */
  public Optional<ReloadableTlsIdentity> identity() {
    return Optional.ofNullable(identity);
  }

  /** Returns the TLS context, which uses the current identity; empty without TLS. */
  public Optional<SSLContext> context() {
    return identity().map(ReloadableTlsIdentity::context);
  }

  @Override
  public void close() {
    if (reloader != null) {
      reloader.close();
    }
  }
}
