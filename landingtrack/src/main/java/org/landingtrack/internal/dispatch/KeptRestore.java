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

/** Brings kept state to the chosen engine before its request; without it the engine computes. */
final class KeptRestore {
  /** An engine keeps restored blocks so long for the request that they were restored for. */
  private static final long MAX_PIN_MS = 5_000;

  private static final long MIN_TIMEOUT_MS = 50;

  /** A restore may take so many times what it was expected to take. */
  private static final int SLACK = 4;

  private final ModelDispatcher parts;
  private final LinkBudget links;
  private final Trace trace;

  KeptRestore(ModelDispatcher parts, LinkBudget links, Trace trace) {
    this.parts = parts;
    this.links = links;
    this.trace = trace;
  }

  /**
   * Restores what an option says, if the budget still allows it.
   *
   * @param engine address of the engine
   * @param bytesPerSecond this gateway's share of the link's budget
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
    Optional<String> store = address(option.restoreFrom());
    if (store.isEmpty()) {
      return;
    }
    long began = parts.ticker.millis();
    List<String> keys = chain.keys().subList(0, option.reusedBlocks());
    long timeoutMs = Math.max(MIN_TIMEOUT_MS, (long) (SLACK * option.restoreMs()));
    long pinMs = Math.min(MAX_PIN_MS, Math.max(1, deadlineMs - began));
    KeptImport order = new KeptImport(store.get(), option.kept(), keys, pinMs, timeoutMs);
    long moved = parts.client.importKept(engine, order);
    long tookMs = Math.max(1, parts.ticker.millis() - began);
    if (moved == 0) {
      links.failed();
      trace.say("The restore from " + option.restoreFrom() + " brought nothing; it is recomputed.");
      return;
    }
    links.observed(moved, (double) tookMs);
    trace.say("Restored " + moved + " bytes of kept state in " + tookMs + " ms.");
  }

  private Optional<String> address(String store) {
    return parts
        .catalog
        .get()
        .find(Kind.BACKEND_SERVER, store, BackendServer.class)
        .map(BackendServer::address);
  }
}
