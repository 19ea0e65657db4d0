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
package org.landingtrack.internal.routing;

import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.RouteQuery.CostWeights;
import org.landingtrack.internal.routing.RouteQuery.LinkState;

/**
 * Estimates the cost of a route option: a server together with the blocks that it reuses or
 * restores. Times are in milliseconds. Stateless.
 */
final class CostModel {
  /** Load reports older than this are ignored: they do not show the current load. */
  static final long MAX_REPORT_AGE_MS = 2_000;

  /** Assumed network time to a server in the gateway's data centre, and to one in another. */
  private static final double SAME_DATA_CENTRE_MS = 0.5;

  private static final double OTHER_DATA_CENTRE_MS = 3;

  /**
   * Tokens assumed in a server's queue without a fresh report; an eighth of them is added if this
   * gateway has no request there.
   */
  private static final long ASSUMED_QUEUE_TOKENS = PrefixChain.BLOCK_TOKENS;

  /** Assumed time until a full batch frees one slot. */
  private static final double SLOT_WAIT_MS = 200;

  /**
   * Lower bound of the unused share of a link budget: limits the surcharge of a used-up link to
   * about twenty times the duration of the restore.
   */
  private static final double MIN_UNUSED_BUDGET_SHARE = 0.05;

  private CostModel() {}

  /**
   * The blocks that an option reuses.
   *
   * @param blocks all reused blocks, both cached by the server and restored
   * @param restoreFrom store VM to restore from; empty for no restore
   * @param manifest manifest of the stored blocks to restore; empty for no restore
   * @param restoreBlocks blocks to restore in addition to those that the server has cached
   */
  record Reuse(int blocks, String restoreFrom, String manifest, int restoreBlocks) {
    static Reuse cachedOnly(int blocks) {
      return new Reuse(blocks, "", "", 0);
    }
  }

  /**
   * Estimates one route option.
   *
   * @param evictedBlocks blocks of other prompts that the server evicts for this prompt's
   */
  static RouteOption estimate(
      RouteQuery query, ServerSnapshot server, Reuse reuse, int evictedBlocks) {
    PrefixChain chain = query.chain();
    LinkState links = query.links();
    double networkMs =
        server.dataCentre().equals(query.dataCentre()) ? SAME_DATA_CENTRE_MS : OTHER_DATA_CENTRE_MS;
    double queueMs = queueMs(server, query.nowMs()) / server.capacityShare();
    int tokens = chain.remainingTokens(reuse.blocks());
    double prefillMs = tokens * server.msPerToken() / server.capacityShare();
    long bytes = (long) reuse.restoreBlocks() * blockBytes(links);
    double restoreMs = bytes == 0 ? 0 : links.overheadMs() + bytes / links.bytesPerMs();
    double ttftMs = networkMs + queueMs + restoreMs + prefillMs;
    double waitingDelayMs = query.waitingPerServer() * prefillMs;
    double othersDelayMs =
        waitingDelayMs
            + evictionMs(query, server, evictedBlocks)
            + linkSurchargeMs(links, restoreMs);
    CostWeights weights = query.costWeights();
    double cost =
        weights.ttftMs() * (ttftMs + othersDelayMs)
            + weights.recomputedToken() * tokens
            + weights.linkMegabyte() * bytes / 1e6;
    return new RouteOption(
        server.name(),
        reuse.blocks(),
        reuse.restoreFrom(),
        reuse.manifest(),
        reuse.restoreBlocks(),
        networkMs,
        queueMs,
        restoreMs,
        prefillMs,
        tokens,
        bytes,
        waitingDelayMs,
        othersDelayMs,
        ttftMs,
        cost);
  }

  /**
   * Returns the later cost of evicted blocks: the time to restore or to recompute them, whichever
   * is shorter, together with the delay that this work causes to waiting requests.
   */
  private static double evictionMs(RouteQuery query, ServerSnapshot server, int evictedBlocks) {
    LinkState links = query.links();
    double restoreMs = evictedBlocks * blockBytes(links) / links.bytesPerMs();
    double computeMs = evictedBlocks * PrefixChain.BLOCK_TOKENS * server.msPerToken();
    return (1 + query.waitingPerServer()) * Math.min(restoreMs, computeMs);
  }

  /**
   * Returns the surcharge for a link whose budget is nearly used up: a restore over it soon forces
   * other requests to recompute their blocks.
   */
  private static double linkSurchargeMs(LinkState links, double restoreMs) {
    double surcharge = 1 / (1 - links.usedBudgetShare() + MIN_UNUSED_BUDGET_SHARE) - 1;
    return Math.max(0, surcharge) * restoreMs;
  }

  /** Returns the size of a block's KV cache in bytes. */
  static long blockBytes(LinkState links) {
    return (long) links.kvBytesPerToken() * PrefixChain.BLOCK_TOKENS;
  }

  /**
   * Returns the estimated queue wait at a server. A fresh load report is corrected by the tokens
   * that this gateway sent since. Without a fresh report the queue counts as unknown, never as
   * empty: the estimate then uses the pending tokens of this gateway's own requests, or a small
   * assumed queue if it has none there.
   */
  static double queueMs(ServerSnapshot server, long nowMs) {
    long ageMs = nowMs - server.report().receivedMs();
    long tokens;
    if (ageMs <= MAX_REPORT_AGE_MS) {
      tokens =
          Math.max(
              server.pendingTokens(),
              server.report().queuedTokens() + server.sentSinceReportTokens());
    } else {
      tokens = server.pendingTokens() + (server.inFlight() == 0 ? ASSUMED_QUEUE_TOKENS / 8 : 0);
    }
    double waitMs = tokens * server.msPerToken();
    int running =
        Math.max(server.inFlight(), ageMs <= MAX_REPORT_AGE_MS ? server.report().running() : 0);
    int excess = running - server.maxConcurrent() + 1;
    if (excess > 0) {
      waitMs += excess * SLOT_WAIT_MS;
    }
    return waitMs;
  }
}
