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
package org.landingtrack.internal.serving;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

/**
 * The queue of requests at this VM that wait until a server can start them soon. In the queue of an
 * engine they could no longer be sent elsewhere, reordered or refused, and what is known about the
 * cached parts that they fetch would be too old when their turn comes. Used on the event loop only.
 */
final class RequestQueue {
  /**
   * The wait that offsets one step of priority: less urgent requests wait longer, but never starve.
   */
  private static final long WAIT_PER_PRIORITY_MS = 300;

  /**
   * How often it is checked whether queued requests can be sent; load reports of other VMs arrive
   * at least as often.
   */
  private static final long RETRY_INTERVAL_MS = 50;

  /** The window over which the rate at which queued requests start is measured. */
  private static final long RATE_WINDOW_MS = 2_000;

  private final EventLoop loop;
  private final List<Waiting> waiting = new ArrayList<>();
  private final Deque<Started> started = new ArrayDeque<>();
  private boolean retryScheduled;

  /** A queued request that was sent. */
  private record Started(long atMs, long tokens) {}

  /**
   * A queued request.
   *
   * @param turnMs orders the queue: the smaller, the sooner the request is considered
   */
  private record Waiting(RequestRun run, long turnMs) {}

  RequestQueue(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Adds a request if it is not queued yet. Later {@link RequestRun#trySendQueued} sends it once a
   * server can start it soon.
   */
  void add(RequestRun run, int priority) {
    if (!contains(run)) {
      waiting.add(new Waiting(run, run.request().receivedAtMs() + priority * WAIT_PER_PRIORITY_MS));
    }
    scheduleRetry();
  }

  /** Returns true if the request is queued. */
  boolean contains(RequestRun run) {
    for (Waiting each : waiting) {
      if (each.run == run) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of queued requests. */
  int size() {
    return waiting.size();
  }

  void remove(RequestRun run) {
    waiting.removeIf(each -> each.run == run);
  }

  /** Records that a request is sent, and removes it if it was queued. */
  void recordStart(RequestRun run) {
    if (contains(run)) {
      started.add(new Started(loop.millis(), run.memoryTokens()));
      remove(run);
    }
  }

  /**
   * Returns the expected wait of a new request in milliseconds: the tokens queued before it,
   * divided by the rate at which queued ones were sent lately; 0 if none was sent lately.
   */
  long expectedWaitMs(RequestRun run) {
    long windowStartMs = loop.millis() - RATE_WINDOW_MS;
    while (!started.isEmpty() && started.peek().atMs < windowStartMs) {
      started.remove();
    }
    long startedTokens = 0;
    for (Started each : started) {
      startedTokens += each.tokens;
    }
    long queuedTokens = 0;
    for (Waiting each : waiting) {
      if (each.run != run && !each.run.isLate()) {
        queuedTokens += each.run.memoryTokens();
      }
    }
    return startedTokens == 0 ? 0 : queuedTokens * RATE_WINDOW_MS / startedTokens;
  }

  /** Returns the sum of {@link RequestRun#size} over the queued requests that match. */
  long totalSize(Predicate<RequestRun> filter) {
    long sum = 0;
    for (Waiting each : waiting) {
      sum += filter.test(each.run) ? each.run.size() : 0;
    }
    return sum;
  }

  private void scheduleRetry() {
    if (retryScheduled || waiting.isEmpty()) {
      return;
    }
    retryScheduled = true;
    loop.schedule(RETRY_INTERVAL_MS, this::retryAll);
  }

  /**
   * Checks all queued requests in order and sends those that can start soon. One that still has to
   * wait does not block the others. Those that can no longer meet their target latency come after
   * those that can.
   */
  private void retryAll() {
    retryScheduled = false;
    List<Waiting> inOrder = new ArrayList<>(waiting);
    inOrder.sort(
        Comparator.comparing((Waiting each) -> each.run.isLate()).thenComparing(Waiting::turnMs));
    try {
      for (Waiting each : inOrder) {
        each.run.trySendQueued();
      }
    } finally {
      scheduleRetry();
    }
  }
}
