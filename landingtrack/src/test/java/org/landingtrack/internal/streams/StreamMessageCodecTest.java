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
package org.landingtrack.internal.streams;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.streams.StreamMessage.Announcement;
import org.landingtrack.internal.streams.StreamMessage.HistoryQuery;
import org.landingtrack.internal.streams.StreamMessage.HistoryReply;
import org.landingtrack.internal.streams.StreamMessage.OriginQuery;
import org.landingtrack.internal.streams.StreamMessage.OriginReply;
import org.landingtrack.internal.streams.StreamOriginTable.KnownStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that stream messages are decoded as encoded, and that invalid bytes are rejected. */
public final class StreamMessageCodecTest {
  private static final long SEED = 5;
  private static final int ROUNDS = 20_000;
  private static final StreamKey KEY = new StreamKey(Long.MIN_VALUE + 7);
  private static final StreamOrigin ORIGIN = new StreamOrigin("engines", "v1.2");

  @DataProvider
  public Object[][] messages() {
    return new Object[][] {
      {new Announcement(List.of(new KnownStream(KEY, ORIGIN)))},
      {new OriginQuery("10.1.0.1:7580", KEY, "engines", 7)},
      {new OriginReply("10.1.0.2:7580", KEY, ORIGIN, 7)},
      {new OriginReply("10.1.0.2:7580", KEY, null)},
      {new HistoryQuery("10.1.0.1:7580", 8)},
      {
        new HistoryReply(
            31_000,
            List.of(new MixedServiceReport("engines", 29_000)),
            List.of(new VersionSighting("engines", "v1", 500)),
            8)
      },
    };
  }

  @Test(dataProvider = "messages")
  public void messageRoundTrip(Object message) throws IOException {
    byte[] bytes = StreamMessageCodec.encode((StreamMessage) message);
    assertTrue(StreamMessageCodec.isStreamMessage(bytes, bytes.length));
    assertEquals(StreamMessageCodec.decode(bytes, bytes.length), message);
  }

  /** A gossip message of any release is an array. */
  @Test
  public void arraysAreNoStreamMessages() {
    assertFalse(StreamMessageCodec.isStreamMessage(new byte[] {(byte) 0x9b}, 1));
    assertFalse(StreamMessageCodec.isStreamMessage(new byte[] {(byte) 0xdc}, 1));
    assertFalse(StreamMessageCodec.isStreamMessage(new byte[] {1}, 0));
  }

  @Test(dataProvider = "messages")
  public void invalidBytesAreRejectedWithAnIoException(Object message) {
    Random random = new Random(SEED);
    byte[] valid = StreamMessageCodec.encode((StreamMessage) message);
    for (int round = 0; round < ROUNDS; round++) {
      byte[] bytes = Arrays.copyOf(valid, 1 + random.nextInt(valid.length));
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        assertTrue(StreamMessageCodec.decode(bytes, bytes.length) != null);
      } catch (IOException e) {
        assertTrue(e.getMessage().startsWith("invalid stream message"), e.getMessage());
      }
    }
  }
}
