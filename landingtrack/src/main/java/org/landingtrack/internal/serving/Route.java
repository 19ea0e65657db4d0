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

import java.util.List;

/**
 * A configured route: maps requests of a host and a path prefix to services, and says how they may
 * be handled. Immutable.
 *
 * @param pathPrefix the prefix of the request path, which begins and ends with a slash
 * @param retryMode what may be retried when a request may have run
 * @param streaming true if responses are event streams
 * @param targets the services, each with its share of the requests
 * @param priority the priority of its requests; 0 is the most urgent
 * @param timeoutMs the maximum time that a request may take
 * @param targetLatencyMs the time within which a response (the first event of a stream) is in time
 * @param maxAttempts the maximum number of backend servers that one request may be sent to
 * @param allowsAnonymous true if callers need no API key
 * @param maxEventGapMs the maximum time between two events of a stream that counts as in time
 * @param allowedRegions the regions in which its requests may run
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RetryMode retryMode,
    boolean streaming,
    List<Target> targets,
    int priority,
    long timeoutMs,
    long targetLatencyMs,
    int maxAttempts,
    boolean allowsAnonymous,
    long maxEventGapMs,
    AllowedRegions allowedRegions) {
  public Route {
    targets = List.copyOf(targets);
  }

  /** Creates a route whose requests may run in all regions. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      RetryMode repeat,
      boolean streaming,
      List<Target> targets,
      int priority,
      long timeoutMs,
      long targetLatencyMs,
      int maxAttempts,
      boolean open,
      long eventGapMs) {
    this(
        name,
        host,
        pathPrefix,
        repeat,
        streaming,
        targets,
        priority,
        timeoutMs,
        targetLatencyMs,
        maxAttempts,
        open,
        eventGapMs,
        AllowedRegions.ALL_REGIONS);
  }

  /** A service and its weight, which is its share of the route's requests. */
  public record Target(String service, int weight) {}

  /** What may be retried when the request may already have run on a server. */
  public enum RetryMode {
    /** Nothing. */
    NEVER,
    /** The whole request. */
    WHOLE,
    /** The rest of the stream, after the last event that the caller has received. */
    RESUME
  }

  /** Returns true if a service gets a share of the route's requests. */
  public boolean hasTarget(String service) {
    for (Target target : targets) {
      if (target.service().equals(service) && (target.weight() > 0 || targets.size() == 1)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the service for a request's hash; the same hash always gives the same service. */
  public String serviceFor(long hash) {
    if (targets.size() == 1) {
      return targets.get(0).service();
    }
    int totalWeight = 0;
    for (Target target : targets) {
      totalWeight += target.weight();
    }
    long remainder = Math.floorMod(hash, Math.max(1, totalWeight));
    for (Target target : targets) {
      remainder -= target.weight();
      if (remainder < 0) {
        return target.service();
      }
    }
    return targets.get(0).service();
  }
}
