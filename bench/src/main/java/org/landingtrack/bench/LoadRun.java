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
package org.landingtrack.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.landingtrack.bench.CallerClient.Answer;
import org.landingtrack.bench.CallerClient.Ask;

/** Sends a workload to the gateways in turn and keeps every answer. */
final class LoadRun implements AutoCloseable {
  private static final long READ_MS = 30_000;
  private static final int MAX_REQUESTS = 60_000;

  /** An answer with the time at which its request was sent, in seconds from the run's start. */
  record Timed(double atS, Ask ask, Answer answer) {}

  private final List<String> gateways;
  private final CallerClient client = new CallerClient(READ_MS);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<Timed> answers = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong sent = new AtomicLong();

  LoadRun(List<String> gateways) {
    this.gateways = gateways;
  }

  /** Sends requests one after another, a few at a time. */
  void warmUp(List<Ask> asks, int atOnce) throws InterruptedException {
    ExecutorService few = Executors.newFixedThreadPool(atOnce);
    for (int i = 0; i < asks.size(); i++) {
      Ask ask = asks.get(i);
      String gateway = gateways.get(i % gateways.size());
      few.execute(() -> client.ask(gateway, ask));
    }
    few.shutdown();
    if (!few.awaitTermination(5, TimeUnit.MINUTES)) {
      throw new IllegalStateException("the warm-up did not end");
    }
  }

  /** Sends a Poisson stream for some seconds; the answers may come later. */
  void run(Workload workload, double requestsPerSecond, double seconds, double startS)
      throws InterruptedException {
    long began = System.nanoTime();
    double next = 0;
    while (next < seconds && sent.get() < MAX_REQUESTS) {
      long waitNs = began + (long) (next * 1e9) - System.nanoTime();
      if (waitNs > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNs);
      }
      Ask ask = workload.next();
      String gateway = gateways.get((int) (sent.getAndIncrement() % gateways.size()));
      double at = startS + next;
      threads.execute(() -> answers.add(new Timed(at, ask, client.ask(gateway, ask))));
      next += workload.nextGapS(requestsPerSecond);
    }
  }

  /** Waits for all answers. */
  List<Timed> finish() throws InterruptedException {
    threads.shutdown();
    if (!threads.awaitTermination(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException("answers are missing");
    }
    return List.copyOf(answers);
  }

  long sent() {
    return sent.get();
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
