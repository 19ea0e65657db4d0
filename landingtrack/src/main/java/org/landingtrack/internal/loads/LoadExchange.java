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
package org.landingtrack.internal.loads;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.landingtrack.internal.base.Addresses;
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.MessagePack;
import org.landingtrack.internal.loads.LoadNews.Load;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends and hears the news of loads over UDP. */
public final class LoadExchange implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("loads");

  /** Fits an Ethernet frame's worth of loads twice over; larger news are cut. */
  private static final int MAX_BYTES = 3_000;

  private static final int MAX_LOADS = 90;
  private static final int MAX_PEERS = 12;
  private static final ObjectReader READER = MessagePack.MAPPER.readerFor(LoadNews.class);
  private static final ObjectWriter WRITER = MessagePack.MAPPER.writerFor(LoadNews.class);

  private final String self;
  private final PeerLoads peers;
  private final Supplier<List<Load>> own;
  private final Executor loop;
  private final DatagramSocket socket;
  private long sequence;
  private volatile boolean closed;

  /**
   * Binds the socket.
   *
   * @param self the address to hear at
   * @param own what this VM has under way; asked on the loop
   * @param loop runs whatever touches {@code peers}
   */
  public LoadExchange(String self, PeerLoads peers, Supplier<List<Load>> own, Executor loop)
      throws IOException {
    this.self = self;
    this.peers = peers;
    this.own = own;
    this.loop = loop;
    InetSocketAddress address = Addresses.parse(self);
    this.socket = new DatagramSocket(address);
  }

  /** Starts hearing. */
  public void start() {
    Duty.daemon("loads").newThread(this::hear).start();
  }

  private void hear() {
    byte[] buffer = new byte[MAX_BYTES];
    while (!closed) {
      DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
      try {
        socket.receive(packet);
        LoadNews news = READER.readValue(Arrays.copyOf(buffer, packet.getLength()));
        loop.execute(() -> peers.heard(news));
      } catch (IOException e) {
        if (!closed) {
          log.debug("A datagram cannot be read: {}.", e.toString());
        }
      }
    }
  }

  /** Sends one round of news. Runs on the loop. */
  public void tell() {
    List<String> receivers = peers.nextRound();
    if (receivers.isEmpty()) {
      return;
    }
    List<Load> loads = own.get();
    List<String> known = peers.lately();
    LoadNews news =
        new LoadNews(
            self,
            ++sequence,
            known.subList(0, Math.min(MAX_PEERS, known.size())),
            loads.subList(0, Math.min(MAX_LOADS, loads.size())));
    try {
      byte[] bytes = WRITER.writeValueAsBytes(news);
      for (String receiver : receivers) {
        socket.send(new DatagramPacket(bytes, bytes.length, Addresses.parse(receiver)));
      }
    } catch (IOException e) {
      log.debug("News of loads were not sent: {}.", e.toString());
    }
  }

  @Override
  public void close() {
    closed = true;
    socket.close();
  }
}
