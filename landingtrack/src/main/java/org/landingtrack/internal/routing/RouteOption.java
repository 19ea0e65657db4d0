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
 * One way to run a request, with its estimated costs.
 *
 * @param reusedBlocks blocks that the server holds already or gets by the restore
 * @param restoreFrom store VM to restore from; empty for none
 * @param kept manifest to restore
 * @param restoreBlocks blocks of the manifest that are wanted
 * @param waitersMs delay of the requests that wait, by this one's work
 * @param othersMs delay of other requests by the work, the eviction and the link's use of this one
 * @param ttftMs estimated time to first token
 * @param cost weighted sum; the lowest wins
 */
public record RouteOption(
    String server,
    int reusedBlocks,
    String restoreFrom,
    String kept,
    int restoreBlocks,
    double networkMs,
    double queueMs,
    double restoreMs,
    double prefillMs,
    int recomputedTokens,
    long linkBytes,
    double waitersMs,
    double othersMs,
    double ttftMs,
    double cost) {

  /** Returns true if kept state is moved to the server first. */
  public boolean restores() {
    return !restoreFrom.isEmpty();
  }

  /** Returns the option in one sentence. */
  public String sentence() {
    String restore =
        restores()
            ? String.format(
                Locale.ROOT,
                ", restore of %d blocks from %s %.1f ms",
                restoreBlocks,
                restoreFrom,
                restoreMs)
            : "";
    return String.format(
        Locale.ROOT,
        "%s: cost %.1f (network %.1f ms, queue %.1f ms%s, compute of %d tokens %.1f ms, reuse of"
            + " %d blocks, %d bytes moved, delay of others %.1f ms).",
        server,
        cost,
        networkMs,
        queueMs,
        restore,
        recomputedTokens,
        prefillMs,
        reusedBlocks,
        linkBytes,
        othersMs);
  }
}
