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

import java.util.Collection;
import java.util.function.IntSupplier;

/**
 * Limits the requests of all VMs to cold servers, without communication between VMs.
 *
 * <p>A server that has just started fails under its usual load. Each VM may send it a request only
 * in short time slots that are drawn by a hash that differs between VMs. Over all VMs, the number
 * of drawn slots keeps the requests in any second within the bound. An unused slot expires, so idle
 * VMs cannot save up capacity and use it all at once. No VM has to know what the others send; a VM
 * that does not know how many others there are assumes a very large number. The cost is one hash
 * for each cold server that is considered.
 *
 * <p>Alternatives considered: no requests to cold servers at all (the others then carry the whole
 * load while a data centre comes back, and where all are cold nothing is served); a token bucket on
 * each VM (full buckets are emptied at the same time: 71 requests at once where 21 are allowed).
 */
final class ColdServers {
  /** Short, so that only few slots lie partly within a given second. */
  static final long SLOT_MS = 200;

  private static final double SECOND_MS = 1_000;

  /** Factor by which the slots that overlap any given second exceed those that fit into it. */
  private static final double SLOT_OVERLAP = 1 + SLOT_MS / SECOND_MS;

  /**
   * Number of standard deviations by which the mean number of requests in a second lies below the
   * bound. VMs draw their slots independently, so the number follows a Poisson distribution.
   * Calculated, the bound is exceeded in about four of ten million seconds at 11 requests per
   * second, and four of a million at 2.
   */
  private static final double MARGIN_DEVIATIONS = 6.3;

  private final EventLoop loop;
  private final IntSupplier vms;
  private final double overshoot;
  private final double tolerance;
  private final HashedSlots slots;
  private long passedOver;

  /**
   * Creates the limiter of one VM.
   *
   * @param vms returns the number of VMs that may send, or more
   * @param overshoot factor of its rate that a cold server can take in a single second
   * @param tolerance number of requests that it can take on top of that
   * @param salt differs between VMs
   */
  ColdServers(EventLoop loop, IntSupplier vms, double overshoot, double tolerance, long salt) {
    this.loop = loop;
    this.vms = vms;
    this.overshoot = overshoot;
    this.tolerance = tolerance;
    this.slots = new HashedSlots(loop, SLOT_MS, salt);
  }

  /** Returns true if a server is not cold, or this VM may send it a request now. */
  boolean maySend(Backend backend, ServiceInfo service) {
    if (!isCold(backend, service)) {
      return true;
    }
    boolean isAllowed =
        slots.hasCapacity(backend.coldSends(), backend.incarnationHash(), meanPerSlot(service));
    passedOver += isAllowed ? 0 : 1;
    return isAllowed;
  }

  private boolean isCold(Backend backend, ServiceInfo service) {
    return service.coldRequestsPerSecond() > 0 && backend.coldForMs(loop.millis()) > 0;
  }

  /** Notes that a request is sent. */
  void sent(Backend backend, ServiceInfo service) {
    if (isCold(backend, service)) {
      slots.recordSend(backend.coldSends());
    }
  }

  /** Returns the mean number of requests that this VM may send in one slot. */
  private double meanPerSlot(ServiceInfo service) {
    return fleetRate(service) * SLOT_MS / SECOND_MS / Math.max(1, vms.getAsInt());
  }

  /**
   * Returns the mean request rate per second that all VMs together send to a cold server at most.
   */
  double fleetRate(ServiceInfo service) {
    double bound = service.coldRequestsPerSecond() * overshoot + tolerance;
    double root =
        (Math.sqrt(MARGIN_DEVIATIONS * MARGIN_DEVIATIONS + 4 * bound) - MARGIN_DEVIATIONS) / 2;
    return Math.min(service.coldRequestsPerSecond(), root * root / SLOT_OVERLAP);
  }

  /**
   * Returns the expected time until a request may be sent to one of the given cold servers.
   *
   * @param before requests of this VM that wait in front of it
   */
  long waitMs(Collection<Backend> servers, ServiceInfo service, int before) {
    long coldMs = Long.MAX_VALUE;
    for (Backend backend : servers) {
      coldMs = Math.min(coldMs, backend.coldForMs(loop.millis()));
    }
    double ownRate = fleetRate(service) * servers.size() / Math.max(1, vms.getAsInt());
    double shareMs = ownRate == 0 ? Double.MAX_VALUE : (before + 1) * SECOND_MS / ownRate;
    return Math.min(coldMs, (long) shareMs);
  }

  /** Returns how often a server was skipped because it is cold. */
  long passedOver() {
    return passedOver;
  }
}
