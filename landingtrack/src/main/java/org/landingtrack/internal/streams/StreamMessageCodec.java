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

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.streams.StreamMessage.Announcement;
import org.landingtrack.internal.streams.StreamMessage.HistoryQuery;
import org.landingtrack.internal.streams.StreamMessage.HistoryReply;
import org.landingtrack.internal.streams.StreamMessage.OriginQuery;
import org.landingtrack.internal.streams.StreamMessage.OriginReply;
import org.landingtrack.internal.streams.StreamOriginTable.KnownStream;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes {@link StreamMessage}s as a MessagePack integer, the type, and the fields. A
 * gossip message begins with an array, so that both may arrive at one port.
 */
final class StreamMessageCodec {
  private static final int ANNOUNCEMENT = 1;
  private static final int ORIGIN_QUERY = 2;
  private static final int ORIGIN_REPLY = 3;
  private static final int HISTORY_QUERY = 4;
  private static final int HISTORY_REPLY = 5;

  /** Largest number of entries in a list. */
  static final int MAX_ENTRIES = 64;

  private StreamMessageCodec() {}

  /** Returns true if a datagram may hold a message of this type, and not a gossip message. */
  static boolean isStreamMessage(byte[] bytes, int length) {
    return length > 0 && bytes[0] > 0;
  }

  static byte[] encode(StreamMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      if (message instanceof Announcement announcement) {
        packer.packInt(ANNOUNCEMENT);
        packer.packArrayHeader(announcement.streams().size());
        for (KnownStream stream : announcement.streams()) {
          packer.packLong(stream.key().hash());
          pack(packer, stream.origin());
        }
      } else if (message instanceof OriginQuery query) {
        packer.packInt(ORIGIN_QUERY);
        packer.packString(query.sender());
        packer.packLong(query.key().hash());
        packer.packString(query.service());
        packer.packLong(query.queryId());
      } else if (message instanceof OriginReply reply) {
        packer.packInt(ORIGIN_REPLY);
        packer.packString(reply.sender());
        packer.packLong(reply.key().hash());
        pack(packer, reply.origin());
        packer.packLong(reply.queryId());
      } else if (message instanceof HistoryQuery query) {
        packer.packInt(HISTORY_QUERY);
        packer.packString(query.sender());
        packer.packLong(query.queryId());
      } else if (message instanceof HistoryReply reply) {
        packer.packInt(HISTORY_REPLY);
        packer.packLong(reply.historyMs());
        packer.packArrayHeader(reply.mixed().size());
        for (MixedServiceReport mixed : reply.mixed()) {
          packer.packString(mixed.service());
          packer.packLong(mixed.remainingMs());
        }
        packer.packArrayHeader(reply.sightings().size());
        for (VersionSighting sighting : reply.sightings()) {
          packer.packString(sighting.service());
          packer.packString(sighting.softwareVersion());
          packer.packLong(sighting.agoMs());
        }
        packer.packLong(reply.queryId());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("the message " + message + " cannot be encoded", e);
    }
  }

  private static void pack(MessageBufferPacker packer, @Nullable StreamOrigin origin)
      throws IOException {
    packer.packBoolean(origin != null);
    if (origin != null) {
      packer.packString(origin.service());
      packer.packString(origin.softwareVersion());
    }
  }

  /**
   * Decodes the first {@code length} bytes of a datagram.
   *
   * @throws IOException if they are not a valid message
   */
  static StreamMessage decode(byte[] bytes, int length) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
      int type = unpacker.unpackInt();
      return switch (type) {
        case ANNOUNCEMENT -> new Announcement(streams(unpacker));
        case ORIGIN_QUERY ->
            new OriginQuery(
                unpacker.unpackString(), key(unpacker), unpacker.unpackString(), queryId(unpacker));
        case ORIGIN_REPLY ->
            new OriginReply(
                unpacker.unpackString(), key(unpacker), origin(unpacker), queryId(unpacker));
        case HISTORY_QUERY -> new HistoryQuery(unpacker.unpackString(), queryId(unpacker));
        case HISTORY_REPLY ->
            new HistoryReply(
                unpacker.unpackLong(), mixed(unpacker), sightings(unpacker), queryId(unpacker));
        default -> throw new IOException("invalid stream message: unknown type " + type);
      };
    } catch (MessagePackException e) {
      throw new IOException("invalid stream message: " + e, e);
    }
  }

  /** Returns the query's id, which is the last field; a VM of an earlier release sends none. */
  private static long queryId(MessageUnpacker unpacker) throws IOException {
    return unpacker.hasNext() ? unpacker.unpackLong() : StreamMessage.NO_QUERY;
  }

  private static StreamKey key(MessageUnpacker unpacker) throws IOException {
    return new StreamKey(unpacker.unpackLong());
  }

  private static @Nullable StreamOrigin origin(MessageUnpacker unpacker) throws IOException {
    return unpacker.unpackBoolean()
        ? new StreamOrigin(unpacker.unpackString(), unpacker.unpackString())
        : null;
  }

  private static int size(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    if (size > MAX_ENTRIES) {
      throw new IOException(
          "invalid stream message: a list of " + size + " entries, expected at most 64");
    }
    return size;
  }

  private static List<KnownStream> streams(MessageUnpacker unpacker) throws IOException {
    List<KnownStream> streams = new ArrayList<>();
    for (int remaining = size(unpacker); remaining > 0; remaining--) {
      StreamKey key = key(unpacker);
      StreamOrigin origin = origin(unpacker);
      if (origin != null) {
        streams.add(new KnownStream(key, origin));
      }
    }
    return streams;
  }

  private static List<VersionSighting> sightings(MessageUnpacker unpacker) throws IOException {
    List<VersionSighting> sightings = new ArrayList<>();
    for (int remaining = size(unpacker); remaining > 0; remaining--) {
      String service = unpacker.unpackString();
      String version = unpacker.unpackString();
      sightings.add(new VersionSighting(service, version, Math.max(0, unpacker.unpackLong())));
    }
    return sightings;
  }

  private static List<MixedServiceReport> mixed(MessageUnpacker unpacker) throws IOException {
    List<MixedServiceReport> mixed = new ArrayList<>();
    for (int remaining = size(unpacker); remaining > 0; remaining--) {
      mixed.add(new MixedServiceReport(unpacker.unpackString(), unpacker.unpackLong()));
    }
    return mixed;
  }
}
