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
import org.landingtrack.internal.routing.RouteQuery.Links;
import org.landingtrack.internal.routing.RouteQuery.Weights;

/** Estimates what running a request in one way costs. */
final class CostModel {
  /** A load report older than this says nothing about now. */
  static final long REPORT_FRESH_MS = 2_000;

  private static final double NETWORK_SAME_MS = 0.5;
  private static final double NETWORK_OTHER_MS = 3;

  /** What a server without any fresh report is assumed to have in its queue, in tokens. */
  private static final long UNKNOWN_QUEUE_TOKENS = PrefixChain.BLOCK_TOKENS;

  /** Assumed time until a full batch frees one place. */
  private static final double SLOT_WAIT_MS = 200;

  /** Bounds the price of a link whose budget is used up, to twenty times its time. */
  private static final double MIN_BUDGET_SHARE = 0.05;

  private CostModel() {}

  /** What the option reuses: by the server itself, and by a restore on top of it. */
  record Reuse(int blocks, String restoreFrom, String kept, int restoreBlocks) {
    static Reuse local(int blocks) {
      return new Reuse(blocks, "", "", 0);
    }
  }

  /**
   * Estimates one way.
   *
   * @param evictedBlocks blocks of other prompts that the server gives up for this one's
   */
  static RouteOption option(RouteQuery query, ServerView server, Reuse reuse, int evictedBlocks) {
    PrefixChain chain = query.chain();
    Links links = query.links();
    double networkMs =
        server.dataCentre().equals(query.dataCentre()) ? NETWORK_SAME_MS : NETWORK_OTHER_MS;
    double queueMs = queueMs(server, query.nowMs()) / server.share();
    int tokens = chain.tokensAfter(reuse.blocks());
    double prefillMs = tokens * server.msPerToken() / server.share();
    long bytes = (long) reuse.restoreBlocks() * blockBytes(links);
    double restoreMs = bytes == 0 ? 0 : links.fixedMs() + bytes / links.bytesPerMs();
    double ttftMs = networkMs + queueMs + restoreMs + prefillMs;
    double waitersMs = query.pressure() * prefillMs;
    double othersMs =
        waitersMs + evictionMs(query, server, evictedBlocks) + scarcityMs(links, restoreMs);
    Weights weights = query.weights();
    double cost =
        weights.ttftMs() * (ttftMs + othersMs)
            + weights.recomputedToken() * tokens
            + weights.linkMegabyte() * bytes / 1e6;
    return new RouteOption(
        server.name(),
        reuse.blocks(),
        reuse.restoreFrom(),
        reuse.kept(),
        reuse.restoreBlocks(),
        networkMs,
        queueMs,
        restoreMs,
        prefillMs,
        tokens,
        bytes,
        waitersMs,
        othersMs,
        ttftMs,
        cost);
  }

  /**
   * What evicted prompts cost when they return: a restore, or computing where that is quicker, by
   * work that delays those that wait in its turn.
   */
  private static double evictionMs(RouteQuery query, ServerView server, int evictedBlocks) {
    Links links = query.links();
    double restoreMs = evictedBlocks * blockBytes(links) / links.bytesPerMs();
    double computeMs = evictedBlocks * PrefixChain.BLOCK_TOKENS * server.msPerToken();
    return (1 + query.pressure()) * Math.min(restoreMs, computeMs);
  }

  /** A restore over a link whose budget is nearly used up will soon make others compute. */
  private static double scarcityMs(Links links, double restoreMs) {
    double price = 1 / (1 - links.scarcity() + MIN_BUDGET_SHARE) - 1;
    return Math.max(0, price) * restoreMs;
  }

  static long blockBytes(Links links) {
    return (long) links.kvBytesPerToken() * PrefixChain.BLOCK_TOKENS;
  }

  /**
   * Time until the server turns to this request. A fresh report is corrected by what this gateway
   * sent since; a stale one decays to "unknown", never to "idle".
   */
  static double queueMs(ServerView server, long nowMs) {
    long age = nowMs - server.report().atMs();
    long tokens;
    if (age <= REPORT_FRESH_MS) {
      tokens =
          Math.max(
              server.pendingTokens(),
              server.report().queuedTokens() + server.sentSinceReportTokens());
    } else {
      tokens = server.pendingTokens() + (server.inFlight() == 0 ? UNKNOWN_QUEUE_TOKENS / 8 : 0);
    }
    double waitMs = tokens * server.msPerToken();
    int running =
        Math.max(server.inFlight(), age <= REPORT_FRESH_MS ? server.report().running() : 0);
    int over = running - server.maxConcurrent() + 1;
    if (over > 0) {
      waitMs += over * SLOT_WAIT_MS;
    }
    return waitMs;
  }
}
