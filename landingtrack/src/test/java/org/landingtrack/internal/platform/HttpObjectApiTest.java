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
package org.landingtrack.internal.platform;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.testng.annotations.Test;

/** Checks the HTTP client of the Object API against a server that closes its connections. */
public final class HttpObjectApiTest {
  private static final String OBJECT =
      "{\"key\":\"a\",\"version\":1,\"revision\":1,\"value\":\"v\"}";

  /** A server that leaves each connection open and closes it at the second request. */
  private static final class ConnectionClosingServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
    private final AtomicInteger connections = new AtomicInteger();

    ConnectionClosingServer() throws IOException {
      BoundedWorker.daemonThreadFactory("forgetful").newThread(this::accept).start();
    }

    String url() {
      return "http://127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
      while (!socket.isClosed()) {
        try (Socket caller = socket.accept()) {
          connections.incrementAndGet();
          serve(caller);
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serve(Socket caller) throws IOException {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(caller.getInputStream(), StandardCharsets.US_ASCII));
      readHead(reader);
      String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + OBJECT.length() + "\r\n\r\n" + OBJECT;
      caller.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      readHead(reader);
    }

    private static void readHead(BufferedReader reader) throws IOException {
      String line = reader.readLine();
      while (line != null && !line.isEmpty()) {
        line = reader.readLine();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A pooled connection that the platform closes when it is used again is not an outage. */
  @Test
  public void readIsRetriedOnANewConnection() throws IOException {
    try (ConnectionClosingServer server = new ConnectionClosingServer()) {
      HttpObjectApi api = new HttpObjectApi(server.url(), Ticker.SYSTEM, 100, 100);
      for (int i = 0; i < 3; i++) {
        assertEquals(api.read(CallClass.LEASE, "a").orElseThrow().value(), "v");
      }
      assertEquals(server.connections.get(), 3);
    }
  }
}
