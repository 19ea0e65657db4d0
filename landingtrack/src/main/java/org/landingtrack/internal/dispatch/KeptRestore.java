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
import org.landingtrack.internal.engine.KeptImport;
import org.landingtrack.internal.explain.Trace;
import org.landingtrack.internal.kept.LinkBudget;
import org.landingtrack.internal.prefix.PrefixChain;
import org.landingtrack.internal.routing.RouteOption;

/**
 * Restores stored KV cache blocks to the selected engine before it gets the request. If a restore
 * fails, the engine recomputes the blocks. Used by the thread of one request.
 */
final class KeptRestore {
  /** Longest time for which an engine pins restored blocks for the request that needs them. */
  private static final long MAX_PIN_MS = 5_000;

  private static final long MIN_TIMEOUT_MS = 50;

  /** The timeout of a restore, as a multiple of its estimated duration. */
  private static final int SLACK = 4;

  private final ModelDispatcher parts;
  private final LinkBudget links;
  private final Trace trace;

  KeptRestore(ModelDispatcher dispatcher, LinkBudget linkBudget, Trace trace) {
    this.parts = dispatcher;
    this.links = linkBudget;
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
  void run(
      RouteOption option,
      PrefixChain chain,
      String engine,
      double bytesPerSecond,
      long deadlineMs) {
    if (!option.restores() || !links.tryTake(option.linkBytes(), bytesPerSecond)) {
      return;
    }
    Optional<String> storeAddress = address(option.restoreFrom());
    if (storeAddress.isEmpty()) {
      return;
    }
    long startMs = parts.ticker.millis();
    List<String> keys = chain.keys().subList(0, option.reusedBlocks());
    long timeoutMs = Math.max(MIN_TIMEOUT_MS, (long) (SLACK * option.restoreMs()));
    long pinMs = Math.min(MAX_PIN_MS, Math.max(1, deadlineMs - startMs));
    KeptImport kvImport = new KeptImport(storeAddress.get(), option.kept(), keys, pinMs, timeoutMs);
    long movedBytes = parts.client.importKept(engine, kvImport);
    long tookMs = Math.max(1, parts.ticker.millis() - startMs);
    if (movedBytes == 0) {
      links.failed();
      trace.say(
          "The restore from "
              + option.restoreFrom()
              + " moved no bytes; the engine recomputes the blocks.");
      return;
    }
    links.observed(movedBytes, (double) tookMs);
    trace.say("Restored " + movedBytes + " bytes of KV cache in " + tookMs + " ms.");
  }

  private Optional<String> address(String store) {
    return parts
        .catalog
        .get()
        .find(Kind.BACKEND_SERVER, store, BackendServer.class)
        .map(BackendServer::address);
  }
}
