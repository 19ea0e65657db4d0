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

/** Applies the notices that backend servers send in their answers, and logs what is new in them. */
final class ServerNotices {
  private final EventLoop loop;
  private final DecisionLog log;
  private final ServerLimits limits;
  private final SharedBackoffs backoffs;
  private final BrittleServers brittle;

  ServerNotices(
      EventLoop loop,
      DecisionLog log,
      ServerLimits limits,
      SharedBackoffs rests,
      BrittleServers brittle) {
    this.loop = loop;
    this.log = log;
    this.limits = limits;
    this.backoffs = rests;
    this.brittle = brittle;
  }

  /**
   * Applies a notice.
   *
   * @param sentAtMs when the request was sent whose answer has the notice
   */
  void apply(Backend backend, ServerNotice notice, long sentAtMs) {
    long now = loop.millis();
    if (notice.leaving() && backend.markLeaving(now)) {
      logChange(backend, "leaving", 0, 0);
    }
    if (notice.unreadable() && backend.markUnreadable()) {
      log.serverStated(backend.entry(), "what cannot be read", 0, 0);
    }
    if (notice.backoffMs() > 0) {
      backoffs.requested(backend.incarnationHash(), notice.backoffMs());
    }
    if (notice.backoffMs() > 0 && backend.backoff().request(notice.backoffMs(), now)) {
      logChange(backend, "resting", 0, notice.backoffMs());
    }
    long server = backend.incarnationHash();
    if (notice.limitPerSecond().isPresent()) {
      double perSecond = notice.limitPerSecond().getAsDouble();
      if (limits.reported(server, perSecond)) {
        logChange(backend, "limited", perSecond, 0);
      }
    } else if (notice.liftsLimit() && limits.reportedNone(server, sentAtMs)) {
      logChange(backend, "limit ended", 0, 0);
    }
    applyBrittle(backend, notice, sentAtMs);
  }

  private void applyBrittle(Backend backend, ServerNotice notice, long sentAtMs) {
    String service = backend.entry().service();
    if (notice.maxRejectionsPerSecond().isPresent()) {
      double perSecond = notice.maxRejectionsPerSecond().getAsDouble();
      if (brittle.stated(service, perSecond)) {
        logChange(backend, "brittle", perSecond, 0);
      }
    } else if (notice.liftsLimit()
        && !notice.unreadable()
        && brittle.statedNone(service, sentAtMs)) {
      logChange(backend, "no longer brittle", 0, 0);
    }
  }

  /** Pauses requests to a brittle server that rejected one for want of capacity. */
  void rejected(Backend backend) {
    long pauseMs = brittle.pauseMs(backend);
    if (pauseMs > 0) {
      backoffs.requested(backend.incarnationHash(), pauseMs);
      backend.backoff().request(pauseMs, loop.millis());
    }
  }

  private void logChange(Backend backend, String change, double limitPerSecond, long restMs) {
    backend.countNotice();
    log.serverStated(backend.entry(), change, limitPerSecond, restMs);
  }
}
