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

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;

/**
 * A bounded table of the origins of streams, which forgets the oldest first. Used on the event loop
 * only.
 */
final class StreamOriginTable {
  /** Bound of streams, about 2.5 MB. */
  static final int MAX_STREAMS = 16_384;

  private final Ticker ticker;
  private final long retentionMs;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /** A stream with its origin. */
  record KnownStream(StreamKey key, StreamOrigin origin) {}

  /**
   * A stored origin.
   *
   * @param isLocal true if this VM began or continued the stream itself
   */
  private record Entry(StreamOrigin origin, long storedAtMs, boolean isLocal) {}

  /**
   * Creates an empty table.
   *
   * @param retentionMs how long a stream is remembered after it was last stored, in milliseconds
   */
  StreamOriginTable(Ticker ticker, long retentionMs) {
    this.ticker = ticker;
    this.retentionMs = retentionMs;
  }

  /** Stores the origin of a stream, or stores it anew. */
  void put(StreamKey key, StreamOrigin origin, boolean isLocal) {
    Entry before = entries.remove(key.hash());
    boolean staysLocal = before != null && before.isLocal;
    entries.put(key.hash(), new Entry(origin, ticker.millis(), isLocal || staysLocal));
    evict();
  }

  private void evict() {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      boolean isExpired = isExpired(oldestFirst.next());
      if (!isExpired && entries.size() <= MAX_STREAMS) {
        return;
      }
      oldestFirst.remove();
    }
  }

  private boolean isExpired(Entry entry) {
    return ticker.millis() - entry.storedAtMs > retentionMs;
  }

  /** Returns the origin of a stream, or null if it is not known. */
  @Nullable StreamOrigin find(StreamKey key) {
    Entry entry = entries.get(key.hash());
    return entry == null || isExpired(entry) ? null : entry.origin;
  }

  /** Returns the streams that this VM began or continued itself. */
  List<KnownStream> localStreams() {
    List<KnownStream> streams = new ArrayList<>();
    entries.forEach(
        (hash, entry) -> {
          if (entry.isLocal && !isExpired(entry)) {
            streams.add(new KnownStream(new StreamKey(hash), entry.origin));
          }
        });
    return streams;
  }

  int size() {
    evict();
    return entries.size();
  }
}
