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

import java.util.Locale;

/**
 * A server that may run a request, with the blocks that it reuses or restores and the estimated
 * costs. Times are in milliseconds.
 *
 * @param server name of the backend server
 * @param reusedBlocks blocks that the server has cached or gets by the restore
 * @param restoreFrom store VM to restore from; empty for no restore
 * @param manifest manifest of the stored blocks to restore; empty for no restore
 * @param restoreBlocks blocks of the manifest to restore
 * @param networkMs assumed network time
 * @param queueMs estimated queue wait at the server
 * @param restoreMs estimated duration of the restore; 0 for no restore
 * @param prefillMs estimated time to compute the prompt tokens that are not reused
 * @param recomputedTokens prompt tokens that are not reused
 * @param linkBytes bytes that the restore moves
 * @param waitingDelayMs delay that the prefill causes to waiting requests
 * @param othersDelayMs delay caused to other requests by the prefill, the eviction and the use of
 *     the link
 * @param ttftMs estimated time to first token
 * @param cost weighted sum of time, recomputed tokens and moved bytes; the lowest is selected
 */
public record RouteOption(
    String server,
    int reusedBlocks,
    String restoreFrom,
    String manifest,
    int restoreBlocks,
    double networkMs,
    double queueMs,
    double restoreMs,
    double prefillMs,
    int recomputedTokens,
    long linkBytes,
    double waitingDelayMs,
    double othersDelayMs,
    double ttftMs,
    double cost) {

  /** Returns true if blocks are restored to the server before the request is sent. */
  public boolean needsRestore() {
    return !restoreFrom.isEmpty();
  }

  /** Returns a sentence with the option's costs, for the explanation of a request. */
  public String describe() {
    String restore =
        needsRestore()
            ? String.format(
                Locale.ROOT,
                ", restore of %d blocks from %s %.1f ms",
                restoreBlocks,
                restoreFrom,
                restoreMs)
            : "";
    return String.format(
        Locale.ROOT,
        "%s: cost %.1f (network %.1f ms, queue %.1f ms%s, prefill of %d tokens %.1f ms, reuse of"
            + " %d blocks, %d bytes moved, delay of other requests %.1f ms).",
        server,
        cost,
        networkMs,
        queueMs,
        restore,
        recomputedTokens,
        prefillMs,
        reusedBlocks,
        linkBytes,
        othersDelayMs);
  }
}
