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
 * Bounded log of the blocks that were added and removed, with consecutive sequence numbers. The
 * fault {@code eventLagMs} delays when events become visible; {@code dropEvents} is the number of
 * coming events that each clear the log, so that readers see a gap. Thread-safe.
 */
final class EventLog {
  private static final int MAX_ENTRIES = 20_000;

  private record Entry(
      long sequence, long atMs, String group, String key, String manifestId, boolean present) {}

  private final Faults faults;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long sequence;
  private long oldestSequence = 1;

  EventLog(Faults faults) {
    this.faults = faults;
  }

  /** Adds an event; {@code present} is false if the block was removed. */
  synchronized void add(String group, String key, String manifestId, boolean present) {
    sequence++;
    entries.addLast(new Entry(sequence, Ticker.SYSTEM.millis(), group, key, manifestId, present));
    if (faults.tryConsume("dropEvents") || entries.size() > MAX_ENTRIES) {
      oldestSequence = sequence + 1;
      entries.clear();
    }
    notifyAll();
  }

  synchronized long sequence() {
    return sequence;
  }

  /**
   * Returns the visible events after a sequence number. Waits for some if there are none, {@code
   * waitMs} at most. The answer is a gap if events after that number are no longer in the log.
   */
  synchronized ObjectNode eventsAfter(long after, long waitMs) throws InterruptedException {
    long deadlineMs = Ticker.SYSTEM.millis() + waitMs;
    while (true) {
      ObjectNode body = Json.LENIENT.createObjectNode();
      if (after + 1 < oldestSequence) {
        return body.put("gap", true).put("sequence", after);
      }
      long visibleUntilMs = Ticker.SYSTEM.millis() - (long) faults.get("eventLagMs");
      ArrayNode events = body.putArray("events");
      long last = after;
      for (Entry entry : entries) {
        if (entry.sequence > after && entry.atMs <= visibleUntilMs) {
          last = entry.sequence;
          add(events, entry.group, entry.key, entry.manifestId, entry.present);
        }
      }
      long remainingMs = deadlineMs - Ticker.SYSTEM.millis();
      if (last > after || remainingMs <= 0) {
        return body.put("sequence", last);
      }
      wait(Math.min(remainingMs, 50));
    }
  }

  /** Appends an event to an array; {@code present} is false if the block was removed. */
  static void add(ArrayNode events, String group, String key, String manifestId, boolean present) {
    events
        .addObject()
        .put("group", group)
        .put("key", key)
        .put("kept", manifestId)
        .put("held", present);
  }
}
