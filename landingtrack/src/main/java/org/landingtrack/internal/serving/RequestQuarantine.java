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

import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.quarantine.Quarantine;
import org.landingtrack.internal.quarantine.RequestDigest;

/**
 * Looks up one request in the {@link Quarantine}, which counts the servers that crashed while they
 * processed it, over all its attempts at all VMs. Used on the event loop only.
 */
final class RequestQuarantine {
  private final CallerRequest request;
  private final Quarantine quarantine;
  private final Supplier<String> team;
  private @Nullable RequestDigest digest;

  /**
   * Creates the lookup for a request.
   *
   * @param team gives the name of its team; called only once the team is known
   */
  RequestQuarantine(CallerRequest request, Quarantine quarantine, Supplier<String> team) {
    this.request = request;
    this.quarantine = quarantine;
    this.team = team;
  }

  /** Returns the digest of the request; retries of its caller have the same digest. */
  RequestDigest digest() {
    RequestDigest known = digest;
    if (known == null) {
      known =
          RequestDigest.of(
              team.get(), request.method(), request.host(), request.target(), request.body());
      digest = known;
    }
    return known;
  }

  private int crashes() {
    return quarantine.mayContain(request.body().length) ? quarantine.crashCount(digest()) : 0;
  }

  /** Returns true if the request is quarantined, so that no server may get it. */
  boolean isQuarantined() {
    return crashes() >= Quarantine.MAX_CRASHES;
  }

  /** Returns true if one more server crash would not yet quarantine the request. */
  boolean allowsOneMoreCrash() {
    return crashes() < Quarantine.MAX_CRASHES - 1;
  }

  /**
   * Returns true if the digest is that of the request. Hashes the body only if its length matches.
   */
  boolean matches(RequestDigest other) {
    return request.body().length == other.bodyBytes() && digest().equals(other);
  }

  /** Records that a server processed the request without a crash. */
  void recordSuccess() {
    if (crashes() > 0) {
      quarantine.recordSuccess(digest());
    }
  }

  /** Returns how much longer the request is quarantined, in milliseconds. */
  long leftMs() {
    return quarantine.remainingMs(digest());
  }

  /** Returns the reason for the quarantine, for the log and the caller. */
  String why() {
    return crashes() + " servers crashed while processing this request, digest " + digest().hex();
  }
}
