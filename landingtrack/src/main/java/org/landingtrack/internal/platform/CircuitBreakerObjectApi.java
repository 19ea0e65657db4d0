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
package org.landingtrack.internal.platform;

import java.util.Optional;
import org.landingtrack.internal.base.Ticker;

/**
 * Wraps an Object API so that its lists and watches share one circuit breaker. Without it, each
 * feed of this VM would retry several times a second while the store rejects the VM's calls, which
 * only adds load to a store that already has a problem. With it, one probe call is made for all
 * feeds. Reads and writes of single objects pass unchanged. Thread-safe.
 */
public final class CircuitBreakerObjectApi implements ObjectApi {
  /**
   * Consecutive failures, of all feeds together, that open the breaker: two per feed, since the
   * connections of all feeds may end together while the store is available.
   */
  private static final int FAILURE_THRESHOLD = 6;

  /**
   * Interval between probe calls while the breaker is open. A change in that time is received up to
   * this much later.
   */
  static final long PROBE_INTERVAL_MS = 300;

  private final ObjectApi api;
  private final CircuitBreaker breaker;

  /** A list or a watch. */
  private interface ReadCall {
    Listing run();
  }

  /** Creates a wrapper whose breaker is closed. */
  public CircuitBreakerObjectApi(ObjectApi api, Ticker ticker) {
    this.api = api;
    this.breaker = new CircuitBreaker(ticker, FAILURE_THRESHOLD, PROBE_INTERVAL_MS);
  }

  private Listing callThroughBreaker(ReadCall call) {
    if (!breaker.tryAcquire()) {
      throw new PlatformException(
          PlatformException.Reason.UNAVAILABLE,
          "call not sent: the circuit breaker is open, since the last calls to the store failed");
    }
    try {
      Listing listing = call.run();
      breaker.recordSuccess();
      return listing;
    } catch (PlatformException e) {
      recordException(e);
      throw e;
    }
  }

  private void recordException(PlatformException e) {
    if (e.reason() == PlatformException.Reason.TOO_OLD
        || e.reason() == PlatformException.Reason.TOO_LARGE) {
      breaker.recordSuccess();
    } else {
      breaker.recordFailure();
    }
  }

  @Override
  public Listing list(CallClass callClass, String prefix, String after, int limit) {
    return callThroughBreaker(() -> api.list(callClass, prefix, after, limit));
  }

  @Override
  public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
    return callThroughBreaker(() -> api.watch(callClass, prefix, afterRevision, waitMs));
  }

  @Override
  public Optional<StoredObject> read(CallClass callClass, String key) {
    return api.read(callClass, key);
  }

  @Override
  public StoredObject write(CallClass callClass, String key, String value, long expectedVersion) {
    return api.write(callClass, key, value, expectedVersion);
  }
}
