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

import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records failures that would otherwise end a thread, or one of its tasks, unseen. Catch {@link
 * Throwable} around each step of a loop that the process needs, pass it to {@link #record}, and go
 * on: an {@link OutOfMemoryError} in one step often ends with the memory that the step held.
 * Thread-safe.
 */
public final class ThreadFailures {
  private static final Logger log = LoggerFactory.getLogger("duty");
  private static final AtomicLong count = new AtomicLong();

  private ThreadFailures() {}

  /** Logs and counts a failure; throws nothing, even if no memory is left for the line. */
  public static void record(String thread, Throwable failure, String consequence) {
    count.incrementAndGet();
    try {
      log.atError()
          .addKeyValue("thread", thread)
          .addKeyValue("why", failure.toString())
          .addKeyValue("consequence", consequence)
          .log("thread failed");
    } catch (Throwable e) {
      // Already counted.
    }
  }

  /** Returns the number of failures recorded since the start of the process. */
  public static long count() {
    return count.get();
  }
}
