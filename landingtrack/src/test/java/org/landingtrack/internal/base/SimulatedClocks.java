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

/** The clocks of one simulated VM, which a test steps, slows and stops. Not thread-safe. */
public final class SimulatedClocks {
  private static final double NANOS_PER_MS = 1_000_000;

  private final double rate;
  private final Ticker ticker;
  private double steadyMs = 50_000;
  private double timeOfDayMs = 1_790_000_000_000.0;

  /**
   * Creates clocks.
   *
   * @param rate milliseconds by these clocks for each one of real time
   */
  public SimulatedClocks(double rate) {
    this.rate = rate;
    this.ticker =
        new SuspensionAwareTicker(() -> (long) (steadyMs * NANOS_PER_MS), () -> (long) timeOfDayMs);
  }

  /** Lets real time pass; the steady clock stands still while the VM is suspended. */
  public void advance(long ms, boolean isSuspended) {
    timeOfDayMs += ms * rate;
    if (!isSuspended) {
      steadyMs += ms * rate;
    }
  }

  /** Sets the time of day forward, or back if negative. */
  public void stepTimeOfDay(long ms) {
    timeOfDayMs += ms;
  }

  /** Returns the clock that counts suspensions and steps. */
  public Ticker ticker() {
    return ticker;
  }

  /** Returns the clock that counts neither. */
  public WaitTicker waitTicker() {
    return () -> (long) steadyMs;
  }
}
