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
final class HashedSlots {
  private final EventLoop loop;
  private final long slotMs;
  private final long salt;
  private final long phaseMs;

  /** Weight of the latest slot in the moving average of slots with a request. */
  private static final double LATEST_WEIGHT = 0.1;

  /** Lower bound of the average: a VM without requests still counts on one in 32 slots. */
  private static final double MIN_DEMAND = 1.0 / 32;

  /**
   * Usage of one server's slots: the requests sent in the last slot that had any, and the recent
   * demand.
   */
  static final class SlotUsage {
    private long slot = Long.MIN_VALUE;
    private int sends;
    private long lastDemandSlot = Long.MIN_VALUE;
    private double demand = 1;
  }

  /**
   * Creates the slots of one VM.
   *
   * @param slotMs length of a slot
   * @param salt differs between VMs
   */
  HashedSlots(EventLoop loop, long slotMs, long salt) {
    this(loop, slotMs, salt, 0);
  }

  /**
   * Creates the slots of one VM, which begin at its own times.
   *
   * @param phaseMs how much earlier the slots begin than those of a VM with phase 0
   */
  HashedSlots(EventLoop loop, long slotMs, long salt, long phaseMs) {
    this.loop = loop;
    this.slotMs = slotMs;
    this.salt = salt;
    this.phaseMs = phaseMs;
  }

  /**
   * Returns true if the current slot has capacity for one more request.
   *
   * @param mean mean capacity of a slot
   */
  boolean hasCapacity(SlotUsage usage, long server, double mean) {
    recordDemand(usage);
    int sends = usage.slot == slot() ? usage.sends : 0;
    return sends < capacity(server, mean);
  }

  private void recordDemand(SlotUsage usage) {
    if (usage.lastDemandSlot != slot()) {
      usage.demand = demand(usage);
      usage.lastDemandSlot = slot();
    }
  }

  /** Returns the share of recent slots in which a request for the server was waiting. */
  double demand(SlotUsage usage) {
    if (usage.lastDemandSlot == Long.MIN_VALUE) {
      return 1;
    }
    long slots = slot() - usage.lastDemandSlot;
    if (slots == 0) {
      return usage.demand;
    }
    double updated = usage.demand + LATEST_WEIGHT * (1 - usage.demand);
    return Math.max(MIN_DEMAND, updated * Math.pow(1 - LATEST_WEIGHT, (double) slots - 1));
  }

  /** Notes a request that is sent in the current slot. */
  void recordSend(SlotUsage usage) {
    usage.sends = usage.slot == slot() ? usage.sends + 1 : 1;
    usage.slot = slot();
  }

  private long slot() {
    return Math.floorDiv(loop.millis() + phaseMs, slotMs);
  }

  private int capacity(long server, double mean) {
    int whole = (int) mean;
    long hash = Hashes.combine(Hashes.combine(salt, slot()), server);
    double unit = Hashes.toUnitInterval(hash);
    return unit < mean - whole ? whole + 1 : whole;
  }
}
