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

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.landingtrack.internal.claim.ClaimShard.Verdict;
import org.landingtrack.internal.claim.ClaimShard.Wish;
import org.landingtrack.internal.platform.ObjectApi;

/** All claim shards as one controller serves them. Thread-safe. */
public final class ClaimShards implements AutoCloseable {
  /** Number of shards. Changing it needs a stop of all claims for the time that keys are kept. */
  public static final int SHARDS = 16;

  private final ObjectApi api;
  private final LongSupplier wallClock;
  private final Map<String, ClaimCommitter> committers = new ConcurrentHashMap<>();

  public ClaimShards(ObjectApi api, LongSupplier wallClock) {
    this.api = api;
    this.wallClock = wallClock;
  }

  /** Returns the shard of a key. */
  public static String shardOf(String keyHash) {
    int number = Integer.parseInt(keyHash.substring(0, 4), 16) % SHARDS;
    return "shard-" + number;
  }

  /** Asks for a claim; the future never fails. */
  public CompletableFuture<Verdict> claim(String keyHash, String by) {
    return committer(keyHash).claim(new Wish(keyHash, by));
  }

  /** Gives up the claim of a request that never ran. */
  public void release(String keyHash, String by) {
    committer(keyHash).release(by);
  }

  private ClaimCommitter committer(String keyHash) {
    return committers.computeIfAbsent(
        shardOf(keyHash), shard -> new ClaimCommitter(api, shard, wallClock));
  }

  @Override
  public void close() {
    List.copyOf(committers.values()).forEach(ClaimCommitter::close);
  }
}
