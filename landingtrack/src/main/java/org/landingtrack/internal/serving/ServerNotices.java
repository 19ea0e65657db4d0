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
  private final ServerRests rests;

  ServerNotices(EventLoop loop, DecisionLog log, ServerLimits limits, ServerRests rests) {
    this.loop = loop;
    this.log = log;
    this.limits = limits;
    this.rests = rests;
  }

  /**
   * Applies a notice.
   *
   * @param sentAtMs when the request was sent whose answer has the notice
   */
  void heard(Backend backend, ServerNotice notice, long sentAtMs) {
    long now = loop.millis();
    if (notice.leaving() && backend.saysLeaving(now)) {
      tell(backend, "leaving", 0, 0);
    }
    if (notice.unreadable() && backend.saysUnreadable()) {
      log.noticed(backend.entry(), "what cannot be read", 0, 0);
    }
    if (notice.restMs() > 0) {
      rests.asked(backend.startHash(), notice.restMs());
    }
    if (notice.restMs() > 0 && backend.rest().asked(notice.restMs(), now)) {
      tell(backend, "resting", 0, notice.restMs());
    }
    long server = backend.startHash();
    if (notice.limitPerSecond().isPresent()) {
      double perSecond = notice.limitPerSecond().getAsDouble();
      if (limits.named(server, perSecond)) {
        tell(backend, "limited", perSecond, 0);
      }
    } else if (notice.endsLimit() && limits.notNamed(server, sentAtMs)) {
      tell(backend, "limit ended", 0, 0);
    }
  }

  private void tell(Backend backend, String change, double limitPerSecond, long restMs) {
    backend.noticed();
    log.noticed(backend.entry(), change, limitPerSecond, restMs);
  }
}
