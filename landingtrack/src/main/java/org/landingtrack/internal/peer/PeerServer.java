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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.ThreadFailures;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers calls of other landingtrack processes. Uses one thread per connection and closes new
 * connections above a limit. Thread-safe.
 *
 * <pre>{@code
 * server.on(Ping.class, ping -> new Pong(ping.sequence()));
 * }</pre>
 */
public final class PeerServer implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("peer");
  private static final int MAX_CONNECTIONS = 512;
  private static final int IDLE_TIMEOUT_MS = 120_000;
  private static final int HANDSHAKE_TIMEOUT_MS = 3_000;
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  private final ServerSocket listener;
  private final PeerTransport transport;
  private final Thread acceptor;
  private final Map<String, Route<?>> routes = new ConcurrentHashMap<>();
  private final Semaphore connectionPermits = new Semaphore(MAX_CONNECTIONS);
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();

  /**
   * Handles one type of message and returns the answer. A {@link RuntimeException} is sent to the
   * caller as an error with the exception's message.
   */
  @FunctionalInterface
  public interface Handler<T> {
    Object handle(T message) throws InterruptedException;
  }

  private record Route<T>(Class<T> type, Handler<T> handler) {
    Object handle(byte[] body) throws IOException, InterruptedException {
      return handler.handle(Frames.MAPPER.readValue(body, type));
    }
  }

  private PeerServer(ServerSocket listener, PeerTransport transport) {
    this.listener = listener;
    this.transport = transport;
    this.acceptor = BoundedWorker.daemonThreadFactory("peer-accept").newThread(this::acceptLoop);
  }

  /** Opens a port without TLS. Port 0 selects a free port. */
  public static PeerServer open(String host, int port) {
    return open(host, port, PeerTransport.PLAIN);
  }

  /**
   * Opens a port. Port 0 selects a free port.
   *
   * @throws LandingtrackException if the port cannot be opened
   */
  public static PeerServer open(String host, int port, PeerTransport transport) {
    try {
      ServerSocket listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(host), port));
      PeerServer server = new PeerServer(listener, transport);
      server.acceptor.start();
      return server;
    } catch (IOException e) {
      throw new LandingtrackException(
          ErrorKind.INTERNAL, "cannot open peer port " + host + ":" + port, e);
    }
  }

  /** Returns the open port. */
  public int port() {
    return listener.getLocalPort();
  }

  /** Registers the handler for a type of message, replacing an earlier one. */
  public <T> PeerServer on(Class<T> type, Handler<T> handler) {
    routes.put(type.getSimpleName(), new Route<>(type, handler));
    return this;
  }

  private void acceptLoop() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        if (!connectionPermits.tryAcquire()) {
          socket.close();
          continue;
        }
        open.add(socket);
        BoundedWorker.daemonThreadFactory("peer-connection").newThread(() -> serve(socket)).start();
      } catch (IOException e) {
        log.debug("Accepting a connection failed: {}.", e.toString());
      } catch (Throwable e) {
        ThreadFailures.record("peer-accept", e, "accepts the next connection");
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(HANDSHAKE_TIMEOUT_MS);
      Socket secured = transport.secure(socket, false);
      socket.setSoTimeout(IDLE_TIMEOUT_MS);
      DataInputStream in = new DataInputStream(new BufferedInputStream(secured.getInputStream()));
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(secured.getOutputStream()));
      while (!listener.isClosed()) {
        Frames.write(out, answer(Frames.read(in)));
      }
    } catch (IOException e) {
      log.debug("Connection ended: {}.", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
      connectionPermits.release();
    }
  }

  private Frames.Frame answer(Frames.Frame request) throws IOException, InterruptedException {
    Route<?> route = routes.get(request.type());
    if (route == null) {
      return error("no handler for messages of type " + request.type());
    }
    try {
      Object result = route.handle(request.body());
      return new Frames.Frame(
          result.getClass().getSimpleName(), Frames.MAPPER.writeValueAsBytes(result));
    } catch (RuntimeException e) {
      log.warn("Handler for message type {} failed: {}.", request.type(), e.toString());
      return error(messageOf(e));
    }
  }

  private static String messageOf(RuntimeException e) {
    @Nullable String message = e.getMessage();
    return message == null ? e.toString() : message;
  }

  private static Frames.Frame error(String message) {
    return new Frames.Frame(PeerClient.ERROR, message.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
      // The port is released only after the thread blocked in accept() has returned.
      acceptor.join(CLOSE_TIMEOUT_MS);
    } catch (IOException e) {
      log.debug("Closing the peer port failed: {}.", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
