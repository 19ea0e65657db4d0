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
 * The claimed keys of one shard as the Object API holds them: an immutable value that rules over
 * its own size and age.
 *
 * @param claims key hash to claim, oldest first
 */
public record ClaimShard(Map<String, Claim> claims) {
  /** Claims in one object at most, which keeps it below the platform's value size. */
  public static final int MAX_CLAIMS = 8_000;

  /** How long a key stays claimed, by the committers' wall clocks. */
  public static final long KEEP_MS = 15 * 60_000;

  /**
   * One claim.
   *
   * @param by request id that may run
   * @param at when, in milliseconds since the Unix epoch
   */
  public record Claim(String by, long at) {}

  /** Outcome of one claim in a commit. */
  public enum Outcome {
    CLAIMED,
    TAKEN,
    FULL,
    UNAVAILABLE
  }

  /** A claim that is asked for. */
  public record Wish(String keyHash, String by) {}

  /** A verdict on a wish; {@code by} names who holds the key if it is TAKEN. */
  public record Verdict(Outcome outcome, String by) {}

  /** The next content with the verdicts in the order of the wishes. */
  public record Commit(ClaimShard next, List<Verdict> verdicts, boolean changed) {}

  /** Returns a shard without claims. */
  public static ClaimShard empty() {
    return new ClaimShard(Map.of());
  }

  /** Decides on a group of wishes. */
  public Commit decide(List<Wish> wishes, long nowMs) {
    Map<String, Claim> next = new LinkedHashMap<>();
    claims.forEach(
        (key, claim) -> {
          if (nowMs - claim.at() < KEEP_MS) {
            next.put(key, claim);
          }
        });
    List<Verdict> verdicts = new ArrayList<>(wishes.size());
    boolean changed = false;
    for (Wish wish : wishes) {
      Claim known = next.get(wish.keyHash());
      if (known != null) {
        Outcome outcome = known.by().equals(wish.by()) ? Outcome.CLAIMED : Outcome.TAKEN;
        verdicts.add(new Verdict(outcome, known.by()));
      } else if (next.size() >= MAX_CLAIMS) {
        verdicts.add(new Verdict(Outcome.FULL, ""));
      } else {
        next.put(wish.keyHash(), new Claim(wish.by(), nowMs));
        verdicts.add(new Verdict(Outcome.CLAIMED, wish.by()));
        changed = true;
      }
    }
    return new Commit(new ClaimShard(next), verdicts, changed);
  }

  /** Returns this shard without the claims of requests that are known never to run. */
  public ClaimShard without(Set<String> abandoned) {
    Map<String, Claim> left = new LinkedHashMap<>();
    claims.forEach(
        (key, claim) -> {
          if (!abandoned.contains(claim.by())) {
            left.put(key, claim);
          }
        });
    return left.size() == claims.size() ? this : new ClaimShard(left);
  }

  /** Returns how long until the oldest claim ends and makes room. */
  public OptionalLong roomInMs(long nowMs) {
    for (Claim claim : claims.values()) {
      return OptionalLong.of(Math.max(0, claim.at() + KEEP_MS - nowMs));
    }
    return OptionalLong.empty();
  }
}
