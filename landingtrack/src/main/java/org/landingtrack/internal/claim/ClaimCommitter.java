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
import org.landingtrack.internal.base.Duty;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.claim.ClaimShard.Commit;
import org.landingtrack.internal.claim.ClaimShard.Outcome;
import org.landingtrack.internal.claim.ClaimShard.Verdict;
import org.landingtrack.internal.claim.ClaimShard.Wish;
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
  private static final int MAX_WAITING = 4_096;
  private static final int MAX_TRIES = 6;

  /** Minimum interval between commits of a shard; keeps 16 shards below 80 writes a second. */
  private static final long MIN_GAP_MS = 200;

  private static final Verdict UNAVAILABLE = new Verdict(Outcome.UNAVAILABLE, "");

  private final ObjectApi api;
  private final String key;
  private final LongSupplier wallClock;
  private final Duty duty;
  private final List<Waiting> waiting = new ArrayList<>();
  private final Set<String> abandoned = new HashSet<>();
  private boolean scheduled;
  private long lastCommitNanos = System.nanoTime() - MIN_GAP_MS * 1_000_000;
  private ClaimShard known = ClaimShard.empty();
  private long knownVersion = -1;

  private record Waiting(Wish wish, CompletableFuture<Verdict> verdict) {}

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
    this.duty = Duty.start("claim-" + shard, 16);
  }

  /**
   * Requests a claim. The future never fails; its outcome is UNAVAILABLE if too many claims wait or
   * the commit is not confirmed.
   */
  public CompletableFuture<Verdict> claim(Wish request) {
    CompletableFuture<Verdict> result = new CompletableFuture<>();
    synchronized (waiting) {
      if (waiting.size() >= MAX_WAITING) {
        result.complete(UNAVAILABLE);
        return result;
      }
      waiting.add(new Waiting(request, result));
      if (!scheduled) {
        scheduled = duty.offer(this::commitWaiting);
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
    synchronized (waiting) {
      if (abandoned.size() >= MAX_WAITING) {
        return;
      }
      abandoned.add(requestId);
      if (!scheduled) {
        scheduled = duty.offer(this::commitWaiting);
      }
    }
  }

  private void commitWaiting() {
    pace();
    List<Waiting> batch;
    Set<String> released;
    synchronized (waiting) {
      batch = List.copyOf(waiting);
      released = Set.copyOf(abandoned);
      waiting.clear();
      scheduled = false;
    }
    List<Verdict> results = commit(batch.stream().map(Waiting::wish).toList(), released);
    for (int i = 0; i < batch.size(); i++) {
      Waiting claim = batch.get(i);
      claim.verdict.complete(results.get(i));
    }
  }

  /**
   * Sleeps for the rest of {@link #MIN_GAP_MS} since the last commit. This keeps all shards
   * together below the platform's write rate: a busy shard collects claims for a moment instead of
   * being rejected by the platform. An idle shard commits at once.
   */
  private void pace() {
    long sinceMs = (System.nanoTime() - lastCommitNanos) / 1_000_000;
    lastCommitNanos = System.nanoTime();
    if (sinceMs >= MIN_GAP_MS) {
      return;
    }
    try {
      Thread.sleep(MIN_GAP_MS - sinceMs);
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
  List<Verdict> commit(List<Wish> requests, Set<String> released) {
    for (int attempts = 0; attempts < MAX_TRIES; attempts++) {
      try {
        if (knownVersion < 0) {
          readBack();
        }
        ClaimShard base = known.without(released);
        Commit commit = base.decide(requests, wallClock.getAsLong());
        // Without a change the results depend only on committed claims; no write is needed.
        if (commit.changed() || base.claims().size() != known.claims().size()) {
          write(commit.next());
        }
        forgetReleased(released);
        return commit.verdicts();
      } catch (PlatformException e) {
        knownVersion = -1;
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
    StoredObject written = api.write(CallClass.CLAIM, key, Json.write(next), knownVersion);
    known = next;
    knownVersion = written.version();
  }

  private void forgetReleased(Set<String> released) {
    synchronized (waiting) {
      abandoned.removeAll(released);
    }
  }

  private void readBack() {
    Optional<StoredObject> stored = api.read(CallClass.CLAIM, key);
    known =
        stored
            .map(object -> Json.read(key, object.value(), ClaimShard.class))
            .orElseGet(ClaimShard::empty);
    knownVersion = stored.map(StoredObject::version).orElse(ObjectApi.ABSENT);
  }

  @Override
  public void close() {
    duty.close();
  }
}
