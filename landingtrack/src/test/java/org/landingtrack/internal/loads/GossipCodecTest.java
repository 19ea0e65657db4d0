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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.base.MessagePack;
import org.landingtrack.internal.loads.GossipMessage.Kind;
import org.landingtrack.internal.loads.GossipMessage.Load;
import org.landingtrack.internal.loads.GossipMessage.Sighting;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PartStoreReport.Change;
import org.landingtrack.internal.quarantine.Charge;
import org.landingtrack.internal.quarantine.SuspectKey;
import org.landingtrack.internal.quarantine.SuspectReport;
import org.landingtrack.internal.streams.MixedServiceReport;
import org.testng.annotations.Test;

/** Tests that messages are decoded as encoded, and that invalid bytes are rejected. */
public final class GossipCodecTest {
  private static final long SEED = 11;
  private static final int ROUNDS = 20_000;
  private static final GossipMessage MESSAGE =
      new GossipMessage(
          new Vm("10.1.0.1:7580", "hall-a", 150),
          1_790_000_000_000L,
          Kind.GROUP,
          List.of(new Sighting(new Vm("10.1.0.2:7580", "hall-b", 36), 300)),
          List.of(new Load(-42, 9_000, 3, 17, 12_000), new Load(Long.MAX_VALUE, 0, 0, 0, 0, 7)),
          List.of(
              new PartStoreReport(
                  "10.2.0.1:80",
                  77,
                  1_790_000_000_100L,
                  5,
                  7,
                  List.of(new Change(true, "v1/ab", 500), new Change(false, "v1/é", 0)))),
          List.of(),
          List.of(
              new SuspectReport(
                  Charge.ofRequest(new SuspectKey(-7, Long.MIN_VALUE, 18_000)),
                  0,
                  List.of(42L, -42L),
                  List.of(42L),
                  1_500,
                  true),
              new SuspectReport(
                  new Charge(SuspectKey.ofPromptPart("m", "a"), 3, true),
                  2,
                  List.of(1L, 2L, 3L),
                  List.of(3L),
                  10,
                  false)),
          List.of(new LimitReport(42, 1.3, 200), new LimitReport(-42, LimitReport.LIFTED, 0)),
          List.of(new BackoffReport(42, 2_900, 100)),
          List.of(
              new TallyReport(
                  TallyTopic.SERVERS, List.of(new Tally(-42, 12, 0, 1_790_000_000_000L))),
              new TallyReport(TallyTopic.RETRIES, List.of(new Tally(7), new Tally(8, 1)))),
          List.of(new MixedServiceReport("engines", 29_900)));

  private static GossipMessage decode(byte[] bytes) throws IOException {
    return GossipCodec.decode(bytes, bytes.length);
  }

  @Test
  public void messageRoundTrip() throws IOException {
    byte[] bytes = GossipCodec.encode(MESSAGE);
    assertEquals(decode(bytes), MESSAGE);
    byte[] buffer = Arrays.copyOf(bytes, bytes.length + 100);
    assertEquals(GossipCodec.decode(buffer, bytes.length), MESSAGE);
  }

  /** The previous release encodes the same arrays with another library. */
  @Test
  public void encodingIsArraysWithoutNames() throws IOException {
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    assertEquals(fields.get(0), List.of("10.1.0.1:7580", "hall-a", 150));
    assertEquals(fields.get(2), "GROUP");
    assertEquals(decode(MessagePack.MAPPER.writeValueAsBytes(fields)), MESSAGE);
  }

  /** VMs of two releases exchange loads during an upgrade, so older messages stay readable. */
  @Test
  public void messageOfPreviousReleaseIsDecoded() throws IOException {
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    List<Object> previous = new ArrayList<>(fields.subList(0, fields.size() - 4));
    previous.set(4, List.of(List.of(-42, 9_000, 3, 17, 12_000)));
    GossipMessage read = decode(MessagePack.MAPPER.writeValueAsBytes(previous));
    assertEquals(read.loads(), List.of(new Load(-42, 9_000, 3, 17, 12_000)));
    assertEquals(read.suspects(), MESSAGE.suspects());
    assertEquals(read.limits(), List.of());
    assertEquals(read.backoffs(), List.of());
    assertEquals(read.tallies(), List.of());
    assertEquals(read.mixedServices(), List.of());
    previous.addAll(fields.subList(fields.size() - 4, fields.size() - 2));
    assertEquals(
        decode(MessagePack.MAPPER.writeValueAsBytes(previous)).backoffs(), MESSAGE.backoffs());
  }

  /** Messages of a later release have further fields and unknown topics, which are ignored. */
  @Test
  public void messageOfLaterReleaseIsDecoded() throws IOException {
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    List<Object> later = new ArrayList<>(fields);
    later.set(10, List.of(List.of(99, List.of(List.of(1, 2, 3))), List.of(2, List.of(List.of(5)))));
    later.add("more");
    GossipMessage read = decode(MessagePack.MAPPER.writeValueAsBytes(later));
    assertEquals(read.backoffs(), MESSAGE.backoffs());
    assertEquals(
        read.tallies(), List.of(new TallyReport(TallyTopic.SERVERS, List.of(new Tally(5)))));
  }

  @Test
  public void invalidBytesAreRejected() throws IOException {
    Random random = new Random(SEED);
    byte[] valid = GossipCodec.encode(MESSAGE);
    int rejected = 0;
    for (int round = 0; round < ROUNDS; round++) {
      byte[] bytes = Arrays.copyOf(valid, 1 + random.nextInt(valid.length));
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
      try {
        assertNotNull(decode(bytes));
      } catch (IOException e) {
        rejected++;
      }
    }
    assertTrue(rejected > ROUNDS / 2, "rejected messages: " + rejected);
  }

  /** Guards against an age in the future, by which a report would count for ever. */
  @Test
  public void numbersOutOfRangeAreBounded() throws IOException {
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    List<Object> odd = new ArrayList<>(fields);
    long min = Long.MIN_VALUE;
    long max = Long.MAX_VALUE;
    odd.set(3, List.of(List.of(List.of("10.1.0.2:7580", "hall-b", 36), min)));
    odd.set(4, List.of(List.of(1, max, max, max, max, max), List.of(2, min, min, min, min, min)));
    odd.set(6, List.of(List.of("servers", 9, 9, min)));
    odd.set(9, List.of(List.of(42, min, min)));
    GossipMessage read = decode(MessagePack.MAPPER.writeValueAsBytes(odd));
    assertEquals(read.sightings().get(0).agoMs(), 0);
    int most = Integer.MAX_VALUE;
    assertEquals(
        read.loads(),
        List.of(new Load(1, most, most, most, most, most), new Load(2, 0, 0, 0, 0, 0)));
    assertEquals(read.feeds().get(0).ageMs(), 0);
    assertEquals(read.backoffs(), List.of(new BackoffReport(42, 0, 0)));
  }

  /** Guards against exceptions, and look-ups of host names, wherever a VM's address is used. */
  @Test
  public void vmsWithoutAnAddressAreLeftOut() throws IOException {
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    List<Object> odd = new ArrayList<>(fields);
    List<Object> sightings = new ArrayList<>();
    for (String address :
        List.of(
            "",
            "a",
            "host.example:80",
            "10.0.0.1:65536",
            "10.0.0.256:80",
            "10.0.0.1:-1",
            "cafe:80",
            ":80")) {
      sightings.add(List.of(List.of(address, "hall-b", 36), 300));
      odd.set(0, List.of(address, "hall-a", 150));
      byte[] bytes = MessagePack.MAPPER.writeValueAsBytes(odd);
      expectThrows(IOException.class, () -> decode(bytes));
    }
    sightings.add(List.of(List.of("10.1.0.2:7580", "hall-b", 36), 300));
    odd.set(0, List.of("10.1.0.1:7580", "hall-a", 150));
    odd.set(3, sightings);
    assertEquals(
        decode(MessagePack.MAPPER.writeValueAsBytes(odd)).sightings(), MESSAGE.sightings());
  }

  private static Object randomValue(Random random, int depth) {
    return switch (random.nextInt(depth == 0 ? 7 : 9)) {
      case 0 -> random.nextLong();
      case 1 -> random.nextInt(20);
      case 2 -> new java.math.BigInteger(64, random);
      case 3 -> random.nextBoolean() ? Double.NaN : Double.MAX_VALUE;
      case 4 -> random.nextBoolean();
      case 5 -> "x".repeat(random.nextInt(40));
      case 6 -> new byte[random.nextInt(5)];
      default -> randomList(random, random.nextInt(14), depth - 1);
    };
  }

  private static List<Object> randomList(Random random, int size, int depth) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(randomValue(random, depth));
    }
    return list;
  }

  /** Replaces one field of a message by any value; nothing but an IOException may be thrown. */
  @Test
  public void anyValueOfAFieldIsDecodedOrRejected() throws IOException {
    Random random = new Random(SEED);
    List<?> fields = MessagePack.MAPPER.readValue(GossipCodec.encode(MESSAGE), List.class);
    int rejected = 0;
    for (int round = 0; round < ROUNDS; round++) {
      List<Object> odd = new ArrayList<>(fields);
      odd.set(random.nextInt(odd.size()), randomValue(random, 4));
      try {
        assertNotNull(decode(MessagePack.MAPPER.writeValueAsBytes(odd)));
      } catch (IOException e) {
        rejected++;
      }
    }
    assertTrue(rejected > ROUNDS / 2 && rejected < ROUNDS, "rejected messages: " + rejected);
  }
}
