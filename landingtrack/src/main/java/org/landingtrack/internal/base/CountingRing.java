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
 * A ring of log lines that never waits: a full one drops what comes, an almost full one keeps its
 * room for warnings and errors. Both are counted. Thread-safe.
 */
final class CountingRing extends AsyncAppender {
  private final AtomicLong dropped = new AtomicLong();

  CountingRing(int size) {
    setQueueSize(size);
    setNeverBlock(true);
  }

  /** Returns the lines that were dropped so far; two threads at the last place count once. */
  long dropped() {
    return dropped.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int room = getRemainingCapacity();
    boolean isLow = room < getDiscardingThreshold();
    if (room == 0 || (isLow && isDiscardable(event))) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }
}
