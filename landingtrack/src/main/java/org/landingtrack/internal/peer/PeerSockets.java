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

/** How connections between processes are secured. Thread-safe. */
public interface PeerSockets {
  /** As they are. */
  PeerSockets PLAIN = (socket, client) -> socket;

  /**
   * Secures a connection, at the latest within the socket's read timeout.
   *
   * @param client true at the side that connected
   */
  Socket secure(Socket socket, boolean client) throws IOException;

  /**
   * Returns TLS in which both sides must show a certificate of the authority. Addresses are not
   * compared with the certificates: VMs are replaced at any time, and any of them may ask any.
   */
  static PeerSockets tls(SSLContext context) {
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
