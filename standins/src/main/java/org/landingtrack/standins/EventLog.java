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
package org.landingtrack.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.base.Ticker;

/**
 * Events about blocks, late by the fault {@code eventLagMs} and with a gap after each {@code
 * dropEvents}. Thread-safe.
 */
final class EventLog {
  private static final int MAX_KEPT = 20_000;

  private record Entry(
      long sequence, long atMs, String group, String key, String kept, boolean held) {}

  private final Faults faults;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long sequence;
  private long firstKept = 1;

  EventLog(Faults faults) {
    this.faults = faults;
  }

  synchronized void add(String group, String key, String kept, boolean held) {
    sequence++;
    entries.addLast(new Entry(sequence, Ticker.SYSTEM.millis(), group, key, kept, held));
    if (faults.takeOne("dropEvents") || entries.size() > MAX_KEPT) {
      firstKept = sequence + 1;
      entries.clear();
    }
    notifyAll();
  }

  synchronized long sequence() {
    return sequence;
  }

  /** Waits for events after a number that are old enough to be seen. */
  synchronized ObjectNode after(long after, long waitMs) throws InterruptedException {
    long end = Ticker.SYSTEM.millis() + waitMs;
    while (true) {
      ObjectNode body = Json.LENIENT.createObjectNode();
      if (after + 1 < firstKept) {
        return body.put("gap", true).put("sequence", after);
      }
      long seenMs = Ticker.SYSTEM.millis() - (long) faults.of("eventLagMs");
      ArrayNode events = body.putArray("events");
      long last = after;
      for (Entry entry : entries) {
        if (entry.sequence > after && entry.atMs <= seenMs) {
          last = entry.sequence;
          add(events, entry.group, entry.key, entry.kept, entry.held);
        }
      }
      long leftMs = end - Ticker.SYSTEM.millis();
      if (last > after || leftMs <= 0) {
        return body.put("sequence", last);
      }
      wait(Math.min(leftMs, 50));
    }
  }

  static void add(ArrayNode events, String group, String key, String kept, boolean held) {
    events.addObject().put("group", group).put("key", key).put("kept", kept).put("held", held);
  }
}
