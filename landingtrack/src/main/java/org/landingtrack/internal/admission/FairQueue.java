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
package org.landingtrack.internal.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Ticker;

/**
 * Queues the requests of one service and admits a bounded number of them at a time to its backend
 * servers, fairly between teams by weight (start-time fair queueing).
 *
 * <p>A request that cannot meet its deadline is refused at once with a retry delay; it is not
 * queued until it is too late. When the queue is full, the team with the most queued requests for
 * its weight loses its newest one to a team with fewer. Thread-safe.
 */
public final class FairQueue {
  private static final double SMOOTHING = 0.1;
  private static final double INITIAL_HOLD_MS = 500;
  private static final int MAX_RETRY_AFTER_S = 60;

  private final Ticker ticker;
  private final IntSupplier slots;
  private final int maxWaiting;
  private final TreeSet<Waiter> waiting =
      new TreeSet<>(
          Comparator.comparingDouble((Waiter w) -> w.start).thenComparingLong(w -> w.order));
  private final Map<String, Double> lastFinish = new HashMap<>();
  private final Map<String, Integer> waitingOfTeam = new HashMap<>();
  private double virtualTime;
  private long nextOrder;
  private int running;
  private double holdMs = INITIAL_HOLD_MS;
  private double firstTokenMs;

  private enum State {
    WAITING,
    ADMITTED,
    EVICTED
  }

  private static final class Waiter {
    private final String team;
    private final double weight;
    private final double start;
    private final long order;
    private State state = State.WAITING;

    Waiter(String team, double weight, double start, long order) {
      this.team = team;
      this.weight = weight;
      this.start = start;
      this.order = order;
    }
  }

  /**
   * Creates a queue.
   *
   * @param ticker the clock
   * @param slots returns how many requests may run now; called each time
   * @param maxWaiting the largest number of queued requests
   */
  public FairQueue(Ticker ticker, IntSupplier slots, int maxWaiting) {
    this.ticker = ticker;
    this.slots = slots;
    this.maxWaiting = maxWaiting;
  }

  /**
   * Waits for a slot, at most until the deadline. After success {@link #release} must be called.
   *
   * @param team the name of the team
   * @param weight the team's weight; the caller of this method doubles it for each step of priority
   * @param deadlineMs the deadline, by the clock of this queue
   * @throws LandingtrackException if the request is refused
   */
  public synchronized void acquire(String team, double weight, long deadlineMs)
      throws InterruptedException {
    if (running < slots.getAsInt() && waiting.isEmpty()) {
      running++;
      return;
    }
    Waiter waiter = enqueue(team, weight, deadlineMs);
    admitNext();
    while (waiter.state == State.WAITING) {
      long leftMs = (long) (deadlineMs - ticker.millis() - firstTokenMs);
      if (leftMs <= 0) {
        remove(waiter);
        throw refuse("no backend server became free before the deadline");
      }
      wait(Math.min(leftMs, 1_000));
      admitNext();
    }
    if (waiter.state == State.EVICTED) {
      throw refuse(
          "the queue is full, and team "
              + team
              + " has more than its share of the queued requests");
    }
  }

  private Waiter enqueue(String team, double weight, long deadlineMs) {
    double expectedMs = expectedWaitMs(waiting.size() + 1);
    if (expectedMs + firstTokenMs > deadlineMs - ticker.millis()) {
      throw refuse("the expected wait is longer than the time until the deadline");
    }
    if (waiting.size() >= maxWaiting && !evictFor(team, weight)) {
      throw refuse("the queue is full");
    }
    double start = Math.max(virtualTime, lastFinish.getOrDefault(team, 0.0));
    Waiter waiter = new Waiter(team, weight, start, nextOrder++);
    lastFinish.put(team, start + 1 / weight);
    waiting.add(waiter);
    waitingOfTeam.merge(team, 1, Integer::sum);
    return waiter;
  }

  /**
   * Evicts the newest request of the team with the most queued requests for its weight, if that is
   * more than the new request's team would have; returns true if there is room now.
   */
  private boolean evictFor(String team, double weight) {
    double newcomerLoad = (waitingOfTeam.getOrDefault(team, 0) + 1) / weight;
    @Nullable Waiter victim = null;
    double highestLoad = newcomerLoad;
    for (Waiter waiter : waiting) {
      double teamLoad = waitingOfTeam.getOrDefault(waiter.team, 0) / waiter.weight;
      boolean worse = teamLoad > highestLoad || (victim != null && waiter.team.equals(victim.team));
      if (worse) {
        highestLoad = Math.max(highestLoad, teamLoad);
        victim = waiter;
      }
    }
    if (victim == null) {
      return false;
    }
    remove(victim);
    victim.state = State.EVICTED;
    refund(victim);
    notifyAll();
    return true;
  }

  private void refund(Waiter waiter) {
    lastFinish.computeIfPresent(waiter.team, (team, finish) -> finish - 1 / waiter.weight);
  }

  private void remove(Waiter waiter) {
    if (waiting.remove(waiter)) {
      waitingOfTeam.computeIfPresent(waiter.team, (t, n) -> n <= 1 ? null : n - 1);
    }
  }

  private void admitNext() {
    boolean any = false;
    while (running < slots.getAsInt() && !waiting.isEmpty()) {
      Waiter next = waiting.first();
      remove(next);
      next.state = State.ADMITTED;
      virtualTime = Math.max(virtualTime, next.start);
      running++;
      any = true;
    }
    if (waiting.isEmpty() && running == 0) {
      lastFinish.clear();
      virtualTime = 0;
    }
    if (any) {
      notifyAll();
    }
  }

  /** Records that an admitted request has ended after {@code heldMs} and frees its slot. */
  public synchronized void release(long heldMs) {
    running--;
    holdMs += SMOOTHING * (heldMs - holdMs);
    admitNext();
  }

  /** Records the time that an admitted request took to its first token. */
  public synchronized void recordFirstToken(double ms) {
    firstTokenMs += SMOOTHING * (ms - firstTokenMs);
  }

  private double expectedWaitMs(int position) {
    return position * holdMs / Math.max(1, slots.getAsInt());
  }

  private LandingtrackException refuse(String why) {
    double waitMs = expectedWaitMs(waiting.size() + 1);
    int seconds = (int) Math.min(MAX_RETRY_AFTER_S, Math.max(1, Math.ceil(waitMs / 1000)));
    return new LandingtrackException(ErrorKind.OVERLOADED, why, seconds);
  }

  /** Returns the number of queued requests. */
  public synchronized int waiting() {
    return waiting.size();
  }

  /** Returns the number of running requests. */
  public synchronized int running() {
    return running;
  }
}
