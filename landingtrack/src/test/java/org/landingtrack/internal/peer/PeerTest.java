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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.peer.Messages.ConfigAnswer;
import org.landingtrack.internal.peer.Messages.ConfigPull;
import org.landingtrack.internal.peer.Messages.RevisionAnswer;
import org.landingtrack.internal.peer.Messages.RevisionQuery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class PeerTest {
  private static String address(int port) {
    return "127.0.0.1:" + port;
  }

  @Test
  public void messagesRoundTripUnchanged() {
    ConfigDelta delta = new ConfigDelta(9, List.of(new ConfigEntry("k", 1, 9, "{\"ä\":1}")));
    try (PeerServer server = PeerServer.open("127.0.0.1", 0);
        PeerClient client = new PeerClient()) {
      server.on(ConfigPull.class, pull -> new ConfigAnswer(true, delta));
      ConfigAnswer answer =
          client.call(
              address(server.port()), new ConfigPull("gw", true, 3, 0), ConfigAnswer.class, 5_000);
      assertEquals(answer, new ConfigAnswer(true, delta));
    }
  }

  @Test
  public void handlerFailuresAreReturnedToTheCaller() {
    try (PeerServer server = PeerServer.open("127.0.0.1", 0);
        PeerClient client = new PeerClient()) {
      server.on(
          RevisionQuery.class,
          query -> {
            throw new IllegalStateException("no revision");
          });
      PeerException e =
          expectThrows(
              PeerException.class,
              () ->
                  client.call(
                      address(server.port()), new RevisionQuery(), RevisionAnswer.class, 5_000));
      assertEquals(e.getMessage(), "no revision");
    }
  }

  @Test
  public void aDeadPooledConnectionIsReplaced() {
    PeerServer first = PeerServer.open("127.0.0.1", 0);
    int port = first.port();
    first.on(RevisionQuery.class, query -> new RevisionAnswer(1));
    try (PeerClient client = new PeerClient()) {
      client.call(address(port), new RevisionQuery(), RevisionAnswer.class, 5_000);
      first.close();
      try (PeerServer second = PeerServer.open("127.0.0.1", port)) {
        second.on(RevisionQuery.class, query -> new RevisionAnswer(2));
        RevisionAnswer answer =
            client.call(address(port), new RevisionQuery(), RevisionAnswer.class, 5_000);
        assertEquals(answer.revision(), 2);
      }
    }
  }

  /** A port can be opened again as soon as {@link PeerServer#close} returns. */
  @Test
  public void aClosedPortCanBeReopenedImmediately() {
    PeerServer server = PeerServer.open("127.0.0.1", 0);
    for (int i = 0; i < 300; i++) {
      int port = server.port();
      server.close();
      server = PeerServer.open("127.0.0.1", port);
    }
    server.close();
  }

  @DataProvider
  public Object[][] badBytes() {
    return new Object[][] {
      {new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff}},
      {new byte[] {0x7f, 0x00, 0x00, 0x00}},
      {new byte[] {0, 0, 0, 2, 1, 2}},
      {new byte[] {0, 0}},
    };
  }

  /** Malformed frames close their own connection; the server still answers others. */
  @Test(dataProvider = "badBytes")
  public void malformedFramesCloseOnlyTheirConnection(byte[] bytes) throws Exception {
    try (PeerServer server = PeerServer.open("127.0.0.1", 0);
        PeerClient client = new PeerClient();
        Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), server.port())) {
      server.on(RevisionQuery.class, query -> new RevisionAnswer(1));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.write(bytes);
      out.flush();
      socket.shutdownOutput();
      assertEquals(socket.getInputStream().read(), -1);
      client.call(address(server.port()), new RevisionQuery(), RevisionAnswer.class, 5_000);
    }
  }

  /** A peer that accepts the connection but never answers, like a suspended process. */
  @Test
  public void aCallOfAnUnresponsivePeerTimesOut() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        PeerClient client = new PeerClient()) {
      expectThrows(
          PeerException.class,
          () ->
              client.call(
                  address(silent.getLocalPort()), new RevisionQuery(), RevisionAnswer.class, 200));
    }
  }
}
