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

import java.io.IOException;
import java.net.Socket;
import java.security.GeneralSecurityException;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.cert.CertificateException;
import java.security.cert.X509Certificate;
import java.time.Instant;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509ExtendedKeyManager;
import javax.net.ssl.X509ExtendedTrustManager;
import org.jspecify.annotations.Nullable;
import org.landingtrack.LandingtrackException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds the TLS identity of a process, and replaces it by a newer one when its files change.
 * Established connections keep the identity with which they were opened; new ones use the newest
 * that could be read. Thread-safe.
 *
 * <p>{@link #reloadIfChanged()} is to be called regularly, as {@link TlsRenewal} does. {@link
 * #context()}, {@link #keyManager()} and {@link #trustManager()} need to be fetched only once, as
 * they use the current identity for each new connection.
 */
public final class ReloadableTlsIdentity {
  private static final Logger log = LoggerFactory.getLogger("tls");

  private final TlsFiles files;
  private final SSLContext context;
  private volatile TlsIdentity current;
  private String fingerprint;

  private ReloadableTlsIdentity(TlsFiles files) {
    this.files = files;
    this.fingerprint = fingerprint(files);
    this.current = TlsIdentity.load(files);
    this.context = newContext();
  }

  /**
   * Reads the files.
   *
   * @throws LandingtrackException naming the file that is missing or invalid
   */
  public static ReloadableTlsIdentity load(TlsFiles files) {
    return new ReloadableTlsIdentity(files);
  }

  private static String fingerprint(TlsFiles files) {
    try {
      return files.fingerprint();
    } catch (IOException e) {
      return "";
    }
  }

  private SSLContext newContext() {
    try {
      SSLContext sslContext = SSLContext.getInstance("TLS");
      sslContext.init(new KeyManager[] {keyManager()}, new TrustManager[] {trustManager()}, null);
      // A resumed session would continue under an identity that has been replaced since. 1 s is the
      // shortest timeout; 0 would set no limit.
      sslContext.getServerSessionContext().setSessionTimeout(1);
      return sslContext;
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this JDK does not support TLS", e);
    }
  }

  /**
   * Reads the files again if they changed. While files are invalid, or only some of them have been
   * replaced, the last valid identity stays in use and the next call reads them again.
   */
  public synchronized void reloadIfChanged() {
    String newFingerprint = fingerprint(files);
    if (newFingerprint.isEmpty() || newFingerprint.equals(fingerprint)) {
      return;
    }
    try {
      current = TlsIdentity.load(files);
      fingerprint = newFingerprint;
      log.info("The certificate was renewed; it expires at {}.", current.expiresAt());
    } catch (LandingtrackException e) {
      log.warn("The new certificate is not used: {}.", e.getMessage());
    }
  }

  /** Returns a context that uses the current identity for each new connection. */
  public SSLContext context() {
    return context;
  }

  /** Returns when the certificate in use expires. */
  public Instant expiresAt() {
    return current.expiresAt();
  }

  /** Returns a key manager that delegates to that of the current identity. */
  public X509ExtendedKeyManager keyManager() {
    return new DelegatingKeyManager();
  }

  /** Returns a trust manager that delegates to that of the current identity. */
  public X509ExtendedTrustManager trustManager() {
    return new DelegatingTrustManager();
  }

  private final class DelegatingKeyManager extends X509ExtendedKeyManager {
    @Override
    public String @Nullable [] getClientAliases(String type, Principal @Nullable [] issuers) {
      return current.keys().getClientAliases(type, issuers);
    }

    @Override
    public @Nullable String chooseClientAlias(
        String[] types, Principal @Nullable [] issuers, @Nullable Socket socket) {
      return current.keys().chooseClientAlias(types, issuers, socket);
    }

    @Override
    public @Nullable String chooseEngineClientAlias(
        String[] types, Principal @Nullable [] issuers, @Nullable SSLEngine engine) {
      return current.keys().chooseEngineClientAlias(types, issuers, engine);
    }

    @Override
    public String @Nullable [] getServerAliases(String type, Principal @Nullable [] issuers) {
      return current.keys().getServerAliases(type, issuers);
    }

    @Override
    public @Nullable String chooseServerAlias(
        String type, Principal @Nullable [] issuers, @Nullable Socket socket) {
      return current.keys().chooseServerAlias(type, issuers, socket);
    }

    @Override
    public @Nullable String chooseEngineServerAlias(
        String type, Principal @Nullable [] issuers, @Nullable SSLEngine engine) {
      return current.keys().chooseEngineServerAlias(type, issuers, engine);
    }

    @Override
    public X509Certificate @Nullable [] getCertificateChain(String alias) {
      return current.keys().getCertificateChain(alias);
    }

    @Override
    public @Nullable PrivateKey getPrivateKey(String alias) {
      return current.keys().getPrivateKey(alias);
    }
  }

  private final class DelegatingTrustManager extends X509ExtendedTrustManager {
    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, Socket socket)
        throws CertificateException {
      current.trust().checkClientTrusted(chain, type, socket);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, Socket socket)
        throws CertificateException {
      current.trust().checkServerTrusted(chain, type, socket);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type, SSLEngine engine)
        throws CertificateException {
      current.trust().checkClientTrusted(chain, type, engine);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type, SSLEngine engine)
        throws CertificateException {
      current.trust().checkServerTrusted(chain, type, engine);
    }

    @Override
    public void checkClientTrusted(X509Certificate[] chain, String type)
        throws CertificateException {
      current.trust().checkClientTrusted(chain, type);
    }

    @Override
    public void checkServerTrusted(X509Certificate[] chain, String type)
        throws CertificateException {
      current.trust().checkServerTrusted(chain, type);
    }

    @Override
    public X509Certificate[] getAcceptedIssuers() {
      return current.trust().getAcceptedIssuers();
    }
  }
}
