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
package org.landingtrack.internal.base;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queues log events for another thread and never blocks the caller. A full queue drops new events;
 * an almost full one drops those below the level of warnings, so that room is left for warnings and
 * errors. Dropped events are counted. Thread-safe.
 */
final class DropCountingAppender extends AsyncAppender {
  private final AtomicLong dropped = new AtomicLong();

  DropCountingAppender(int queueSize) {
    setQueueSize(queueSize);
    setNeverBlock(true);
  }

  /**
   * Returns how many events were dropped so far. Two threads that race for the last free place
   * count as one drop.
   */
  long dropped() {
    return dropped.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int remaining = getRemainingCapacity();
    boolean isLow = remaining < getDiscardingThreshold();
    if (remaining == 0 || (isLow && isDiscardable(event))) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }
}
