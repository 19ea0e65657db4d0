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

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Addresses;

/**
 * Calls other landingtrack processes and waits for their answers. Pools a few idle connections per
 * peer. Thread-safe.
 *
 * <p>A call that fails on a pooled connection is sent again on a new one, so all messages must be
 * safe to repeat.
 */
public final class PeerClient implements AutoCloseable {
  static final String ERROR = "error";
  private static final int MAX_IDLE_PER_PEER = 8;
  private static final int MAX_CONNECT_MS = 1_000;

  private final PeerTransport transport;
  private final Map<String, ArrayBlockingQueue<Connection>> idleConnections =
      new ConcurrentHashMap<>();

  /** Creates a client without TLS. */
  public PeerClient() {
    this(PeerTransport.PLAIN);
  }

  /** Creates a client whose connections are secured by {@code transport}. */
  public PeerClient(PeerTransport transport) {
    this.transport = transport;
  }

  /**
   * Sends a message to a peer and waits for the answer.
   *
   * @param address {@code host:port} of the peer
   * @param timeoutMs timeout of each read from the socket; connecting is limited to one second
   * @throws PeerException if the peer does not answer or answers with an error
   */
  public <T> T call(String address, Object message, Class<T> answerType, int timeoutMs) {
    Connection pooled = pool(address).poll();
    if (pooled != null) {
      try {
        return call(address, pooled, message, answerType, timeoutMs);
      } catch (IOException e) {
        // The peer may have closed a pooled connection; all peer calls are safe to repeat.
        pooled.close();
      }
    }
    Connection opened = null;
    try {
      opened = Connection.open(transport, address, Math.min(MAX_CONNECT_MS, timeoutMs));
      return call(address, opened, message, answerType, timeoutMs);
    } catch (IOException e) {
      if (opened != null) {
        opened.close();
      }
      throw new PeerException("peer " + address + " does not answer: " + e, e);
    }
  }

  private <T> T call(
      String address, Connection connection, Object message, Class<T> answerType, int timeoutMs)
      throws IOException {
    connection.socket.setSoTimeout(timeoutMs);
    byte[] body = Frames.MAPPER.writeValueAsBytes(message);
    Frames.write(connection.out, new Frames.Frame(message.getClass().getSimpleName(), body));
    Frames.Frame answer = Frames.read(connection.in);
    if (!pool(address).offer(connection)) {
      connection.close();
    }
    if (answer.type().equals(ERROR)) {
      throw new PeerException(new String(answer.body(), StandardCharsets.UTF_8));
    }
    return Frames.MAPPER.readValue(answer.body(), answerType);
  }

  private ArrayBlockingQueue<Connection> pool(String address) {
    return idleConnections.computeIfAbsent(
        address, key -> new ArrayBlockingQueue<>(MAX_IDLE_PER_PEER));
  }

  @Override
  public void close() {
    for (ArrayBlockingQueue<Connection> queue : idleConnections.values()) {
      @Nullable Connection connection = queue.poll();
      while (connection != null) {
        connection.close();
        connection = queue.poll();
      }
    }
  }

  private record Connection(Socket socket, DataInputStream in, DataOutputStream out) {
    static Connection open(PeerTransport transport, String address, int timeoutMs)
        throws IOException {
      Socket socket = new Socket();
      try {
        socket.connect(Addresses.parse(address), timeoutMs);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        Socket secured = transport.secure(socket, true);
        return new Connection(
            secured,
            new DataInputStream(new BufferedInputStream(secured.getInputStream())),
            new DataOutputStream(new BufferedOutputStream(secured.getOutputStream())));
      } catch (IOException e) {
        socket.close();
        throw e;
      }
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection is discarded anyway.
      }
    }
  }
}
