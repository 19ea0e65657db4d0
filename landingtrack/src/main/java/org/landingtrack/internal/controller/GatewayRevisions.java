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
package org.landingtrack.internal.controller;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.landingtrack.internal.peer.Messages.InForce;

/**
 * Tracks the gateways that pull the configuration from this controller, and the revision that each
 * has in force. A gateway that does not pull for {@link #EXPIRY_S} seconds is removed. Thread-safe.
 */
final class GatewayRevisions {
  private static final long EXPIRY_S = 15;
  private static final int MAX_GATEWAYS = 1_000;

  private final Cache<String, Long> revisions =
      Caffeine.newBuilder()
          .maximumSize(MAX_GATEWAYS)
          .expireAfterWrite(EXPIRY_S, TimeUnit.SECONDS)
          .build();

  /** Records a pull by a gateway, which has {@code revision} in force. */
  void recordPull(String gateway, long revision) {
    revisions.put(gateway, revision);
  }

  /** Returns the tracked gateways with their revisions. */
  List<InForce> inForce() {
    List<InForce> result = new ArrayList<>();
    revisions.asMap().forEach((gateway, revision) -> result.add(new InForce(gateway, revision)));
    return result;
  }
}
