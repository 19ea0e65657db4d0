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
package org.landingtrack.internal.peer;

import java.io.IOException;
import java.net.Socket;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;

/**
 * Secures the connections between processes, with TLS or not at all. Implementations are
 * thread-safe.
 */
public interface PeerTransport {
  /** Leaves connections unencrypted. */
  PeerTransport PLAIN = (socket, client) -> socket;

  /**
   * Secures a connection. Each read of the handshake is limited by the socket's read timeout.
   *
   * @param client true on the side that opened the connection
   * @return the socket to use from now on
   */
  Socket secure(Socket socket, boolean client) throws IOException;

  /**
   * Returns mutual TLS: both sides must present a certificate that the context trusts. Certificates
   * are not matched against addresses, since VMs are replaced at any time and each may call any
   * other.
   */
  static PeerTransport tls(SSLContext context) {
    return (socket, client) -> {
      SSLSocket secured =
          (SSLSocket)
              context
                  .getSocketFactory()
                  .createSocket(
                      socket, socket.getInetAddress().getHostAddress(), socket.getPort(), true);
      secured.setUseClientMode(client);
      if (!client) {
        secured.setNeedClientAuth(true);
      }
      secured.startHandshake();
      return secured;
    };
  }
}
