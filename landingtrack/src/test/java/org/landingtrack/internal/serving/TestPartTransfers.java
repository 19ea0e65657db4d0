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
package org.landingtrack.internal.serving;

import java.util.Map;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.landingtrack.internal.loads.PeerLoads;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/** Plans KV transfers for an engine with an empty prefix cache, as requests plan them. */
final class TestPartTransfers {
  private static final EngineInfo INFO = new EngineInfo(8, 10_000, 18_432, 100_000);

  private TestPartTransfers() {}

  static Backend engine(String id) {
    return new Backend(
        new ServerEntry(
            id, "engines", "10.0.0.1:" + id.hashCode() % 1_000, "dc-1", 8, false, 0, Map.of()),
        0);
  }

  static PeerLoads emptyPeerLoads(ManualEventLoop loop) {
    return new PeerLoads(loop, new Vm("10.0.1.1:70", "dc-1", 0));
  }

  static PartFetchPlanner fetchPlanner(
      PartStores stores, ManualEventLoop loop, String scope, Prompt prompt) {
    return new PartFetchPlanner(
        scope, prompt, INFO, stores, store -> true, emptyPeerLoads(loop), loop.millis());
  }

  static PartTransfers startTransfers(
      PartStores stores, ManualEventLoop loop, String scope, Prompt prompt) {
    PartFetchPlanner sources = fetchPlanner(stores, loop, scope, prompt);
    Backend target = engine("target");
    return sources.startTransfers(new Object(), target, sources.plan(target, 0, 0), 0);
  }

  static int fetchedTokens(PartStores stores, ManualEventLoop loop, String scope, Prompt prompt) {
    return fetchPlanner(stores, loop, scope, prompt).plan(engine("target"), 0, 0).tokens();
  }
}
