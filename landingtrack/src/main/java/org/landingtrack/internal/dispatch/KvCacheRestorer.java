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
package org.landingtrack.internal.dispatch;

import java.util.List;
import java.util.Optional;
import org.landingtrack.internal.catalog.BackendServer;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.engine.KvCacheImport;
import org.landingtrack.internal.explain.ExplanationBuilder;
import org.landingtrack.internal.kept.LinkBudget;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.RouteOption;

/**
 * Restores stored KV cache blocks to the selected engine before it gets the request. If a restore
 * fails, the engine recomputes the blocks. Used by the thread of one request.
 */
final class KvCacheRestorer {
  /** Longest time for which an engine pins restored blocks for the request that needs them. */
  private static final long MAX_PIN_MS = 5_000;

  private static final long MIN_TIMEOUT_MS = 50;

  /** The timeout of a restore, as a multiple of its estimated duration. */
  private static final int TIMEOUT_FACTOR = 4;

  private final ModelDispatcher dispatcher;
  private final LinkBudget linkBudget;
  private final ExplanationBuilder trace;

  KvCacheRestorer(ModelDispatcher dispatcher, LinkBudget linkBudget, ExplanationBuilder trace) {
    this.dispatcher = dispatcher;
    this.linkBudget = linkBudget;
    this.trace = trace;
  }

  /**
   * Restores the blocks that a route option plans, unless the link budget is used up or the store
   * VM is no longer in the catalog.
   *
   * @param engine address of the engine
   * @param bytesPerSecond this gateway's share of the link budget
   * @param deadlineMs deadline of the request on the monotonic clock; ends the pin of the blocks
   */
  void restore(
      RouteOption option,
      PrefixChain chain,
      String engine,
      double bytesPerSecond,
      long deadlineMs) {
    if (!option.needsRestore() || !linkBudget.tryAcquire(option.linkBytes(), bytesPerSecond)) {
      return;
    }
    Optional<String> storeAddress = findStoreAddress(option.restoreFrom());
    if (storeAddress.isEmpty()) {
      return;
    }
    long startMs = dispatcher.ticker.millis();
    List<String> keys = chain.keys().subList(0, option.reusedBlocks());
    long timeoutMs = Math.max(MIN_TIMEOUT_MS, (long) (TIMEOUT_FACTOR * option.restoreMs()));
    long pinMs = Math.min(MAX_PIN_MS, Math.max(1, deadlineMs - startMs));
    KvCacheImport kvImport =
        new KvCacheImport(storeAddress.get(), option.manifest(), keys, pinMs, timeoutMs);
    long movedBytes = dispatcher.client.importKvCache(engine, kvImport);
    long tookMs = Math.max(1, dispatcher.ticker.millis() - startMs);
    if (movedBytes == 0) {
      linkBudget.recordFailure();
      trace.add(
          "The restore from "
              + option.restoreFrom()
              + " moved no bytes; the engine recomputes the blocks.");
      return;
    }
    linkBudget.recordTransfer(movedBytes, (double) tookMs);
    trace.add("Restored " + movedBytes + " bytes of KV cache in " + tookMs + " ms.");
  }

  private Optional<String> findStoreAddress(String store) {
    return dispatcher
        .catalog
        .get()
        .find(Kind.BACKEND_SERVER, store, BackendServer.class)
        .map(BackendServer::address);
  }
}
