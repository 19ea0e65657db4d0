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

import org.landingtrack.internal.base.Hashes;

/**
 * Short time slots in which a VM may send some requests to a server. The capacity of each slot is
 * drawn by a hash that differs between VMs, so that VMs share a server's capacity without
 * communication. An unused slot expires: idle VMs cannot save up capacity and use it all at once.
 * Used on the event loop only.
 */
final class DrawnSlots {
  private final EventLoop loop;
  private final long slotMs;
  private final long salt;

  /** Weight of the latest slot in the moving average of slots with a request. */
  private static final double LATEST_WEIGHT = 0.1;

  /** Lower bound of the average: a VM without requests still counts on one in 32 slots. */
  private static final double LEAST_DEMAND = 1.0 / 32;

  /**
   * Usage of one server's slots: the requests sent in the last slot that had any, and the recent
   * demand.
   */
  static final class Used {
    private long slot = Long.MIN_VALUE;
    private int sends;
    private long askedSlot = Long.MIN_VALUE;
    private double demand = 1;
  }

  /**
   * Creates the slots of one VM.
   *
   * @param slotMs length of a slot
   * @param salt differs between VMs
   */
  DrawnSlots(EventLoop loop, long slotMs, long salt) {
    this.loop = loop;
    this.slotMs = slotMs;
    this.salt = salt;
  }

  /**
   * Returns true if the current slot has capacity for one more request.
   *
   * @param mean mean capacity of a slot
   */
  boolean isFree(Used usage, long server, double mean) {
    noteAsked(usage);
    int sends = usage.slot == slot() ? usage.sends : 0;
    return sends < drawn(server, mean);
  }

  private void noteAsked(Used usage) {
    if (usage.askedSlot != slot()) {
      usage.demand = demand(usage);
      usage.askedSlot = slot();
    }
  }

  /** Returns the share of recent slots in which a request for the server was waiting. */
  double demand(Used usage) {
    if (usage.askedSlot == Long.MIN_VALUE) {
      return 1;
    }
    long slots = slot() - usage.askedSlot;
    if (slots == 0) {
      return usage.demand;
    }
    double updated = usage.demand + LATEST_WEIGHT * (1 - usage.demand);
    return Math.max(LEAST_DEMAND, updated * Math.pow(1 - LATEST_WEIGHT, (double) slots - 1));
  }

  /** Notes a request that is sent in the current slot. */
  void use(Used usage) {
    usage.sends = usage.slot == slot() ? usage.sends + 1 : 1;
    usage.slot = slot();
  }

  private long slot() {
    return Math.floorDiv(loop.millis(), slotMs);
  }

  private int drawn(long server, double mean) {
    int whole = (int) mean;
    long hash = Hashes.weight(Hashes.weight(salt, slot()), server);
    double unit = Hashes.unit(hash);
    return unit < mean - whole ? whole + 1 : whole;
  }
}
