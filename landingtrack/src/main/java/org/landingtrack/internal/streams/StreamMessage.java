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

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.streams.StreamOriginTable.KnownStream;

/** Message from one VM to another about the origins of streams, in one datagram. */
sealed interface StreamMessage {
  /** Tells the origins of streams that the sender began or continued. */
  record Announcement(List<KnownStream> streams) implements StreamMessage {
    public Announcement {
      streams = List.copyOf(streams);
    }
  }

  /** Stands for no query, in a message of a VM that does not number its queries. */
  long NO_QUERY = 0;

  /**
   * Asks for the origin of a stream.
   *
   * @param sender address to which the reply is sent
   * @param service not used; VMs of the release before reply with the only version of it
   * @param queryId identifies the query to its sender
   */
  record OriginQuery(String sender, StreamKey key, String service, long queryId)
      implements StreamMessage {}

  /**
   * Answers a query with what the sender knows about the stream; the origin is null if it does not
   * know the stream.
   */
  record OriginReply(String sender, StreamKey key, @Nullable StreamOrigin origin, long queryId)
      implements StreamMessage {
    OriginReply(String sender, StreamKey key, @Nullable StreamOrigin origin) {
      this(sender, key, origin, NO_QUERY);
    }
  }

  /**
   * Asks for the history of a VM.
   *
   * @param queryId identifies the query to its sender
   */
  record HistoryQuery(String sender, long queryId) implements StreamMessage {}

  /**
   * Tells for how long the sender has known all versions, and which services are mixed.
   *
   * @param sightings the versions that the sender has listed recently
   */
  record HistoryReply(
      long historyMs, List<MixedServiceReport> mixed, List<VersionSighting> sightings, long queryId)
      implements StreamMessage {
    public HistoryReply {
      mixed = List.copyOf(mixed);
      sightings = List.copyOf(sightings);
    }
  }
}
