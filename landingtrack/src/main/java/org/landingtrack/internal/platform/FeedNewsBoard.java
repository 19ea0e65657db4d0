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

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Awake;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.loads.FeedNews;

/**
 * What hubs say of the Object API, for threads that wait for a change. News count from when the
 * Object API can have said so at the earliest; what may have lain in a socket while this process
 * stood still does not count. Thread-safe.
 */
public final class FeedNewsBoard {
  /** News take so long at most on a sound link; the links of VMs hold some hundred milliseconds. */
  private static final long WAY_MS = 300;

  /** After it stood still, a process reads what lay in its sockets within this time. */
  private static final long SETTLED_MS = 1_000;

  /** A hub that did not answer is not asked for so long. */
  private static final long DISTRUST_MS = 2_000;

  private final Ticker ticker;
  private final Awake awake;
  private final Set<String> prefixes;
  private final Map<String, Heard> latest = new HashMap<>();
  private final Map<String, Long> distrustedUntilMs = new HashMap<>();
  private long wakes;
  private volatile ProofListener proofs = (prefix, revision, atMs) -> {};

  /**
   * What a hub said of one kind.
   *
   * @param hub the address at which it is asked
   * @param atMs when the Object API can have said so at the earliest
   */
  record Heard(String hub, long revision, long changedRevision, long atMs) {}

  /** Takes the proof that a kind had no change after a revision up to a time. */
  interface ProofListener {
    void proven(String prefix, long revision, long atMs);
  }

  /**
   * Creates a board without news.
   *
   * @param awake tells whether this process stood still
   * @param prefixes the kinds that are followed; news of others are dropped
   */
  public FeedNewsBoard(Ticker ticker, Awake awake, Collection<String> prefixes) {
    this.prefixes = Set.copyOf(prefixes);
    this.ticker = ticker;
    this.awake = awake;
  }

  /** Tells {@code listener} from now on what news prove. */
  void onProof(ProofListener listener) {
    proofs = listener;
  }

  /** Takes news of a hub. */
  public void heard(String hub, List<FeedNews> news) {
    if (news.isEmpty() || awake.forMs() < SETTLED_MS) {
      return;
    }
    long nowMs = ticker.millis();
    for (FeedNews each : news) {
      if (!prefixes.contains(each.prefix())) {
        continue;
      }
      long atMs = nowMs - WAY_MS - Math.max(0, each.ageMs());
      note(new Heard(hub, each.revision(), each.changedRevision(), atMs), each.prefix());
      proofs.proven(each.prefix(), each.revision(), atMs);
    }
  }

  /** Wakes those that wait only for a change: news come ten times a second. */
  private synchronized void note(Heard heard, String prefix) {
    Heard known = latest.get(prefix);
    if (known != null && heard.atMs < known.atMs) {
      return;
    }
    latest.put(prefix, heard);
    if (known == null || heard.changedRevision > known.changedRevision) {
      notifyAll();
    }
  }

  /** Returns the latest news of a kind that are no older than so long, of a hub that answers. */
  synchronized Optional<Heard> latest(String prefix, long maxAgeMs) {
    @Nullable Heard heard = latest.get(prefix);
    long nowMs = ticker.millis();
    if (heard == null || nowMs - heard.atMs > maxAgeMs) {
      return Optional.empty();
    }
    return nowMs < distrustedUntilMs.getOrDefault(heard.hub, Long.MIN_VALUE)
        ? Optional.empty()
        : Optional.of(heard);
  }

  /** Notes that a hub did not answer. */
  synchronized void distrust(String hub) {
    distrustedUntilMs.put(hub, ticker.millis() + DISTRUST_MS);
  }

  /** Ends all waits: what this process is to do has changed. */
  synchronized void wake() {
    wakes++;
    notifyAll();
  }

  /** Waits until a change of a kind after a revision is heard of, for so long at most. */
  synchronized void await(String prefix, long afterRevision, long waitMs)
      throws InterruptedException {
    long endMs = ticker.millis() + waitMs;
    long leftMs = waitMs;
    long wakesBefore = wakes;
    while (leftMs > 0 && wakes == wakesBefore) {
      Heard heard = latest.get(prefix);
      if (heard != null && heard.changedRevision > afterRevision) {
        return;
      }
      wait(leftMs);
      leftMs = endMs - ticker.millis();
    }
  }
}
