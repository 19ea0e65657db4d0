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
import org.landingtrack.bench.CallerClient.PromptRequest;

/** Sends a workload to the gateways round-robin and records every answer. */
final class LoadRun implements AutoCloseable {
  private static final long READ_TIMEOUT_MS = 30_000;
  private static final int MAX_REQUESTS = 60_000;

  /** An answer with its request, and the request's planned send time in seconds from the start. */
  record TimedAnswer(double sentAtS, PromptRequest request, Answer answer) {}

  private final List<String> gateways;
  private final CallerClient client = new CallerClient(READ_TIMEOUT_MS);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<TimedAnswer> answers = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong sent = new AtomicLong();

  LoadRun(List<String> gateways) {
    this.gateways = gateways;
  }

  /**
   * Sends requests with limited concurrency and waits for their answers, which are not recorded.
   */
  void warmUp(List<PromptRequest> prompts, int concurrency) throws InterruptedException {
    ExecutorService executor = Executors.newFixedThreadPool(concurrency);
    for (int i = 0; i < prompts.size(); i++) {
      PromptRequest prompt = prompts.get(i);
      String gateway = gateways.get(i % gateways.size());
      executor.execute(() -> client.send(gateway, prompt));
    }
    executor.shutdown();
    if (!executor.awaitTermination(5, TimeUnit.MINUTES)) {
      throw new IllegalStateException("warm-up requests are still running after 5 minutes");
    }
  }

  /**
   * Sends requests with Poisson arrivals for a number of seconds, without waiting for the answers.
   * All calls together send 60,000 requests at most.
   *
   * @param startS the time at which this call starts, in seconds from the start of the first
   */
  void run(Workload workload, double requestsPerSecond, double seconds, double startS)
      throws InterruptedException {
    long startNs = System.nanoTime();
    double nextS = 0;
    while (nextS < seconds && sent.get() < MAX_REQUESTS) {
      long waitNs = startNs + (long) (nextS * 1e9) - System.nanoTime();
      if (waitNs > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNs);
      }
      PromptRequest prompt = workload.nextRequest();
      String gateway = gateways.get((int) (sent.getAndIncrement() % gateways.size()));
      double sentAtS = startS + nextS;
      threads.execute(
          () -> answers.add(new TimedAnswer(sentAtS, prompt, client.send(gateway, prompt))));
      nextS += workload.nextInterarrivalS(requestsPerSecond);
    }
  }

  /** Waits for all outstanding answers and returns all of them. */
  List<TimedAnswer> finish() throws InterruptedException {
    threads.shutdown();
    if (!threads.awaitTermination(2, TimeUnit.MINUTES)) {
      throw new IllegalStateException(
          "requests are still without an answer 2 minutes after the last was sent");
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
