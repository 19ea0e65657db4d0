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
package org.landingtrack.internal.protection;

/**
 * Detects overload of a VM from samples that are taken twice a second. Guards against more requests
 * than the VM's own processor can serve in time; small VMs get as many requests as large ones. The
 * lag of the event loop decides, since it delays callers by the same time whatever the size of the
 * VM; processor and connection use only make the VM busy.
 */
public final class VmPressure {
  /**
   * Lag of an overloaded VM. It adds twice this time to an answer, which is the whole target
   * latency of a plain HTTP request.
   */
  private static final double OVERLOADED_LAG_MS = 100;

  private static final double BUSY_LAG_MS = 25;

  /** Above this share of the processor, a burst makes requests wait. */
  private static final double BUSY_CPU = 0.8;

  private static final double BUSY_CONNECTIONS = 0.8;

  /** Heap use after collections that leaves too little memory for the requests in flight. */
  private static final double HEAP_SHORTAGE_SHARE = 0.85;

  /** A state is left only below this part of its thresholds. */
  private static final double EXIT_SHARE = 0.5;

  /** One sample is not enough: it may contain a garbage collection or a suspension of the VM. */
  private static final int SAMPLES_TO_ENTER = 2;

  private static final int SAMPLES_TO_LEAVE = 3;

  private State state = State.NORMAL;
  private int samplesAbove;
  private int samplesBelow;
  private int samplesShortOfHeap;

  /** Load of a VM relative to its capacity. */
  public enum State {
    NORMAL(0),
    BUSY(1),
    OVERLOADED(2);

    private final int level;

    State(int level) {
      this.level = level;
    }

    /** Returns the number of the state in metrics; higher is worse. */
    public int level() {
      return level;
    }
  }

  /**
   * Measurements since the last sample.
   *
   * @param lagMs mean lag of the event loop
   * @param cpuShare used processor time as a share of the VM's processor limit
   * @param heapShare lowest recent heap use as a share of the maximum heap
   * @param connectionShare open connections as a share of the maximum
   */
  public record Sample(double lagMs, double cpuShare, double heapShare, double connectionShare) {}

  /** Adds a sample and returns the new state. */
  public State sample(Sample sample) {
    samplesShortOfHeap = sample.heapShare >= HEAP_SHORTAGE_SHARE ? samplesShortOfHeap + 1 : 0;
    State reached = stateAt(sample, 1);
    samplesAbove = reached.compareTo(state) > 0 ? samplesAbove + 1 : 0;
    samplesBelow = stateAt(sample, EXIT_SHARE).compareTo(state) < 0 ? samplesBelow + 1 : 0;
    if (samplesAbove >= SAMPLES_TO_ENTER) {
      enter(reached);
    } else if (samplesBelow >= SAMPLES_TO_LEAVE) {
      enter(state == State.OVERLOADED ? State.BUSY : State.NORMAL);
    }
    return state;
  }

  /** Returns the state after the last sample. */
  public State state() {
    return state;
  }

  /** Returns true while the heap is too full for new requests. */
  public boolean isShortOfHeap() {
    return samplesShortOfHeap >= SAMPLES_TO_ENTER;
  }

  private void enter(State next) {
    state = next;
    samplesAbove = 0;
    samplesBelow = 0;
  }

  private static State stateAt(Sample sample, double part) {
    if (sample.lagMs >= part * OVERLOADED_LAG_MS) {
      return State.OVERLOADED;
    }
    boolean busy =
        sample.lagMs >= part * BUSY_LAG_MS
            || sample.cpuShare >= part * BUSY_CPU
            || sample.connectionShare >= part * BUSY_CONNECTIONS;
    return busy ? State.BUSY : State.NORMAL;
  }
}
