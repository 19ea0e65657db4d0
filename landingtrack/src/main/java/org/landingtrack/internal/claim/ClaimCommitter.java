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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.claim.ClaimShard.ClaimRequest;
import org.landingtrack.internal.claim.ClaimShard.ClaimResult;
import org.landingtrack.internal.claim.ClaimShard.Commit;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.PlatformException;
import org.landingtrack.internal.platform.StoredObject;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits the claims of one shard in batches: the claims that arrive during a commit go together
 * into the next one.
 *
 * <p>Conditional updates provide the fencing. If two controllers both consider themselves the owner
 * of the shard, for example because one was suspended, only one of them can succeed from the same
 * version; the other reads the shard again and decides again. So no lease is needed. Thread-safe.
 */
public final class ClaimCommitter implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("claim");
  private static final int MAX_PENDING = 4_096;
  private static final int MAX_ATTEMPTS = 6;

  /** Minimum interval between commits of a shard; keeps 16 shards below 80 writes a second. */
  private static final long MIN_COMMIT_INTERVAL_MS = 200;

  private static final ClaimResult UNAVAILABLE = new ClaimResult(Outcome.UNAVAILABLE, "");

  private final ObjectApi api;
  private final String key;
  private final LongSupplier wallClock;
  private final BoundedWorker duty;
  private final List<PendingClaim> pending = new ArrayList<>();
  private final Set<String> releasedRequestIds = new HashSet<>();
  private boolean commitScheduled;
  private long lastCommitNanos = System.nanoTime() - MIN_COMMIT_INTERVAL_MS * 1_000_000;
  private ClaimShard cachedShard = ClaimShard.empty();
  private long cachedVersion = -1;

  private record PendingClaim(ClaimRequest request, CompletableFuture<ClaimResult> result) {}

  /**
   * Creates a committer with a thread of its own.
   *
   * @param shard name of the shard; its object is {@code claims/SHARD}
   * @param wallClock milliseconds since the Unix epoch
   */
  public ClaimCommitter(ObjectApi api, String shard, LongSupplier wallClock) {
    this.api = api;
    this.key = "claims/" + shard;
    this.wallClock = wallClock;
    this.duty = BoundedWorker.start("claim-" + shard, 16);
  }

  /**
   * Requests a claim. The future never fails; its outcome is UNAVAILABLE if too many claims wait or
   * the commit is not confirmed.
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    CompletableFuture<ClaimResult> result = new CompletableFuture<>();
    synchronized (pending) {
      if (pending.size() >= MAX_PENDING) {
        result.complete(UNAVAILABLE);
        return result;
      }
      pending.add(new PendingClaim(request, result));
      if (!commitScheduled) {
        commitScheduled = duty.offer(this::commitPending);
      }
    }
    return result;
  }

  /**
   * Releases the claim of a request that is known never to run, so that its caller may retry with
   * the same key. The release is committed with the next batch; if it is lost, the key only stays
   * claimed until the claim expires.
   */
  public void release(String requestId) {
    synchronized (pending) {
      if (releasedRequestIds.size() >= MAX_PENDING) {
        return;
      }
      releasedRequestIds.add(requestId);
      if (!commitScheduled) {
        commitScheduled = duty.offer(this::commitPending);
      }
    }
  }

  private void commitPending() {
    throttle();
    List<PendingClaim> batch;
    Set<String> released;
    synchronized (pending) {
      batch = List.copyOf(pending);
      released = Set.copyOf(releasedRequestIds);
      pending.clear();
      commitScheduled = false;
    }
    List<ClaimResult> results =
        commit(batch.stream().map(PendingClaim::request).toList(), released);
    for (int i = 0; i < batch.size(); i++) {
      PendingClaim claim = batch.get(i);
      claim.result.complete(results.get(i));
    }
  }

  /**
   * Sleeps for the rest of {@link #MIN_COMMIT_INTERVAL_MS} since the last commit. This keeps all
   * shards together below the platform's write rate: a busy shard collects claims for a moment
   * instead of being rejected by the platform. An idle shard commits at once.
   */
  private void throttle() {
    long sinceMs = (System.nanoTime() - lastCommitNanos) / 1_000_000;
    lastCommitNanos = System.nanoTime();
    if (sinceMs >= MIN_COMMIT_INTERVAL_MS) {
      return;
    }
    try {
      Thread.sleep(MIN_COMMIT_INTERVAL_MS - sinceMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    lastCommitNanos = System.nanoTime();
  }

  /**
   * Commits a batch of claims and releases. Every claim is UNAVAILABLE if the platform does not
   * confirm the write. Such a claim must not be released here: a gateway that gets no answer in
   * time asks the next controller and runs the request if that one confirms the claim. Only {@link
   * #release} states that a request never runs.
   */
  List<ClaimResult> commit(List<ClaimRequest> requests, Set<String> released) {
    for (int attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      try {
        if (cachedVersion < 0) {
          reload();
        }
        ClaimShard base = cachedShard.withoutRequests(released);
        Commit commit = base.decide(requests, wallClock.getAsLong());
        // Without a change the results depend only on committed claims; no write is needed.
        if (commit.changed() || base.claims().size() != cachedShard.claims().size()) {
          write(commit.next());
        }
        clearReleased(released);
        return commit.results();
      } catch (PlatformException e) {
        cachedVersion = -1;
        if (e.reason() == PlatformException.Reason.UNAVAILABLE) {
          log.warn("Claims of {} cannot be committed: {}.", key, e.getMessage());
          break;
        }
        // After a conflict or a lost answer the next attempt reads the stored shard again.
      }
    }
    return requests.stream().map(request -> UNAVAILABLE).toList();
  }

  private void write(ClaimShard next) {
    StoredObject written = api.write(CallClass.CLAIM, key, Json.write(next), cachedVersion);
    cachedShard = next;
    cachedVersion = written.version();
  }

  private void clearReleased(Set<String> released) {
    synchronized (pending) {
      releasedRequestIds.removeAll(released);
    }
  }

  private void reload() {
    Optional<StoredObject> stored = api.read(CallClass.CLAIM, key);
    cachedShard =
        stored
            .map(object -> Json.read(key, object.value(), ClaimShard.class))
            .orElseGet(ClaimShard::empty);
    cachedVersion = stored.map(StoredObject::version).orElse(ObjectApi.ABSENT);
  }

  @Override
  public void close() {
    duty.close();
  }
}
