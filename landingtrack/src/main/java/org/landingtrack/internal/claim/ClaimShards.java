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
import org.landingtrack.internal.claim.ClaimShard.ClaimRequest;
import org.landingtrack.internal.claim.ClaimShard.ClaimResult;
import org.landingtrack.internal.platform.ObjectApi;

/**
 * The claims of one controller: distributes request keys over shards and creates the committer of a
 * shard on first use. Thread-safe.
 */
public final class ClaimShards implements AutoCloseable {
  /**
   * Number of shards. To change it, all claims must be stopped for as long as keys stay claimed
   * ({@link ClaimShard#CLAIM_TTL_MS}).
   */
  public static final int SHARD_COUNT = 16;

  private final ObjectApi api;
  private final LongSupplier wallClock;
  private final Map<String, ClaimCommitter> committers = new ConcurrentHashMap<>();

  /**
   * Creates the shards.
   *
   * @param wallClock milliseconds since the Unix epoch
   */
  public ClaimShards(ObjectApi api, LongSupplier wallClock) {
    this.api = api;
    this.wallClock = wallClock;
  }

  /** Returns the name of the shard of a key hash, which must begin with four hex digits. */
  public static String shardOf(String keyHash) {
    int shard = Integer.parseInt(keyHash.substring(0, 4), 16) % SHARD_COUNT;
    return "shard-" + shard;
  }

  /** Requests a claim; see {@link ClaimCommitter#claim}. */
  public CompletableFuture<ClaimResult> claim(String keyHash, String requestId) {
    return committer(keyHash).claim(new ClaimRequest(keyHash, requestId));
  }

  /** Releases the claim of a request that never ran. */
  public void release(String keyHash, String requestId) {
    committer(keyHash).release(requestId);
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
