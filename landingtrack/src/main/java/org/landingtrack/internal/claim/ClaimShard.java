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
package org.landingtrack.internal.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The claimed request keys of one shard, as stored in the Object API. An immutable value that
 * limits the number and the age of its claims.
 *
 * @param claims claims by hash of the request key, oldest first
 */
public record ClaimShard(Map<String, Claim> claims) {
  /** Maximum number of claims in a shard; keeps the object below the platform's value size. */
  public static final int MAX_CLAIMS = 8_000;

  /** How long a key stays claimed in milliseconds, by the committers' wall clocks. */
  public static final long CLAIM_TTL_MS = 15 * 60_000;

  /**
   * The claim of a key.
   *
   * @param by id of the request that may run
   * @param at time of the claim in milliseconds since the Unix epoch
   */
  public record Claim(String by, long at) {}

  /** Outcome of a requested claim. */
  public enum Outcome {
    /** The key is claimed for the request. */
    CLAIMED,
    /** Another request has claimed the key. */
    TAKEN,
    /** The shard has {@link #MAX_CLAIMS} claims. */
    FULL,
    /** The claim could not be queued or its commit was not confirmed. */
    UNAVAILABLE
  }

  /**
   * A requested claim.
   *
   * @param keyHash hash of the request key
   * @param requestId id of the request
   */
  public record ClaimRequest(String keyHash, String requestId) {}

  /**
   * The result of a requested claim.
   *
   * @param holder id of the request that holds the key if the outcome is CLAIMED or TAKEN; empty
   *     otherwise
   */
  public record ClaimResult(Outcome outcome, String holder) {}

  /**
   * The decision on a batch of requested claims.
   *
   * @param next the shard with the new claims and without the expired ones
   * @param results results in the order of the requested claims
   * @param changed true if there are new claims
   */
  public record Commit(ClaimShard next, List<ClaimResult> results, boolean changed) {}

  /** Returns a shard without claims. */
  public static ClaimShard empty() {
    return new ClaimShard(Map.of());
  }

  /** Decides on a batch of requested claims; the first request for a free key gets it. */
  public Commit decide(List<ClaimRequest> requests, long nowMs) {
    Map<String, Claim> next = new LinkedHashMap<>();
    claims.forEach(
        (key, claim) -> {
          if (nowMs - claim.at() < CLAIM_TTL_MS) {
            next.put(key, claim);
          }
        });
    List<ClaimResult> results = new ArrayList<>(requests.size());
    boolean changed = false;
    for (ClaimRequest request : requests) {
      Claim known = next.get(request.keyHash());
      if (known != null) {
        Outcome outcome = known.by().equals(request.requestId()) ? Outcome.CLAIMED : Outcome.TAKEN;
        results.add(new ClaimResult(outcome, known.by()));
      } else if (next.size() >= MAX_CLAIMS) {
        results.add(new ClaimResult(Outcome.FULL, ""));
      } else {
        next.put(request.keyHash(), new Claim(request.requestId(), nowMs));
        results.add(new ClaimResult(Outcome.CLAIMED, request.requestId()));
        changed = true;
      }
    }
    return new Commit(new ClaimShard(next), results, changed);
  }

  /** Returns this shard without the claims of requests that are known never to run. */
  public ClaimShard withoutRequests(Set<String> requestIds) {
    Map<String, Claim> remaining = new LinkedHashMap<>();
    claims.forEach(
        (key, claim) -> {
          if (!requestIds.contains(claim.by())) {
            remaining.put(key, claim);
          }
        });
    return remaining.size() == claims.size() ? this : new ClaimShard(remaining);
  }

  /** Returns the milliseconds until the oldest claim expires and frees its place. */
  public OptionalLong nextExpiryInMs(long nowMs) {
    for (Claim claim : claims.values()) {
      return OptionalLong.of(Math.max(0, claim.at() + CLAIM_TTL_MS - nowMs));
    }
    return OptionalLong.empty();
  }
}
