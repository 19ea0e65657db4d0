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

import java.util.ArrayList;
import java.util.List;

/**
 * The KV cache transfers that this VM ordered over one link and that are not known to have ended. A
 * link carries one transfer after another. Not thread-safe; used on the event loop.
 */
final class LinkBacklog {
  /** Multiple of its expected time after which a transfer counts as ended without a report. */
  private static final double EXPIRY_FACTOR = 1.3;

  private final List<Transfer> transfers = new ArrayList<>();

  /**
   * A transfer in flight.
   *
   * @param owner the request that ordered it, compared by identity
   * @param linkMs the time for which it occupies the link
   * @param expiresAtMs when it counts as ended
   */
  private record Transfer(Object owner, double linkMs, double expiresAtMs) {}

  /**
   * Adds a transfer.
   *
   * @param owner the request that ordered it, compared by identity
   * @param linkMs time in milliseconds for which it occupies the link
   * @param endsInMs expected time in milliseconds until it ends
   */
  void add(Object owner, double linkMs, double endsInMs, long nowMs) {
    transfers.add(new Transfer(owner, linkMs, nowMs + endsInMs * EXPIRY_FACTOR));
  }

  /** Removes all transfers of a request, which have ended. */
  void removeAll(Object owner) {
    transfers.removeIf(transfer -> transfer.owner == owner);
  }

  /** Returns the time in milliseconds for which these transfers occupy the link. */
  double busyMs(long nowMs) {
    if (transfers.isEmpty()) {
      return 0;
    }
    transfers.removeIf(transfer -> transfer.expiresAtMs <= nowMs);
    double sum = 0;
    for (Transfer transfer : transfers) {
      sum += transfer.linkMs;
    }
    return sum;
  }

  int size() {
    return transfers.size();
  }
}
