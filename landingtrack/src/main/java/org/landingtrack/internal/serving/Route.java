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
 * Which requests go to which services, and how they may be handled.
 *
 * @param pathPrefix begins and ends with a slash
 * @param priority 0 is the most urgent
 * @param timeoutMs the longest that a request may be held
 * @param targetLatencyMs within which an answer (the first event of a stream) is in time
 * @param maxAttempts backend servers that one request may be sent to
 * @param eventGapMs the longest pause between two events that keeps a stream in time
 * @param homes where its requests may run
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repeat repeat,
    boolean streaming,
    List<Target> targets,
    int priority,
    long timeoutMs,
    long targetLatencyMs,
    int maxAttempts,
    boolean open,
    long eventGapMs,
    Homes homes) {
  public Route {
    targets = List.copyOf(targets);
  }

  /** Creates a route whose requests may run anywhere. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      Repeat repeat,
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
        Homes.ANYWHERE);
  }

  /** A service with its share of the route's requests. */
  public record Target(String service, int weight) {}

  /** What may be sent again when it may have run. */
  public enum Repeat {
    /** Nothing. */
    NEVER,
    /** The whole request. */
    WHOLE,
    /** The rest of the stream, after the last event that the caller has. */
    RESUME
  }

  /** Returns the service of a request; the same hash always gives the same one. */
  public String service(long hash) {
    if (targets.size() == 1) {
      return targets.get(0).service();
    }
    int sum = 0;
    for (Target target : targets) {
      sum += target.weight();
    }
    long point = Math.floorMod(hash, Math.max(1, sum));
    for (Target target : targets) {
      point -= target.weight();
      if (point < 0) {
        return target.service();
      }
    }
    return targets.get(0).service();
  }
}
