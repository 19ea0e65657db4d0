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

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Tests that a worker goes on after a task that throws an error. */
public final class BoundedWorkerTest {
  private static final long TIMEOUT_S = 30;

  /** Guards against periodic tasks that are never run again, without a line. */
  @Test
  public void periodicTaskIsRunAgainAfterAnError() throws InterruptedException {
    long failuresBefore = ThreadFailures.count();
    AtomicInteger runs = new AtomicInteger();
    CountDownLatch thirdRun = new CountDownLatch(3);
    try (BoundedWorker worker = BoundedWorker.start("worker", 4)) {
      worker.runPeriodically(
          1,
          () -> {
            runs.incrementAndGet();
            thirdRun.countDown();
            throw new OutOfMemoryError("simulated");
          });
      assertTrue(thirdRun.await(TIMEOUT_S, TimeUnit.SECONDS));
    }
    assertTrue(ThreadFailures.count() >= failuresBefore + 2);
  }

  @Test
  public void endOfAThreadIsRecorded() throws InterruptedException {
    long failuresBefore = ThreadFailures.count();
    Thread thread =
        BoundedWorker.daemonThreadFactory("ends")
            .newThread(
                () -> {
                  throw new OutOfMemoryError("simulated");
                });
    thread.start();
    thread.join();
    assertTrue(ThreadFailures.count() > failuresBefore);
  }
}
