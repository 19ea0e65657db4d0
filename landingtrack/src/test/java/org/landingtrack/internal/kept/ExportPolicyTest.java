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
package org.landingtrack.internal.kept;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.kept.ExportPolicy.ReuseRate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class ExportPolicyTest {
  private static final ReuseRate NEVER_REUSED = new ReuseRate(1_000, 0);
  private static final ReuseRate ALWAYS_REUSED = new ReuseRate(1_000, 1_000);

  private static Service service(double recompute, double link) {
    return new Service("model", "v", 1, recompute, link, 1_000_000, 10, 10, "store");
  }

  private static List<String> chain(int shared, int own, String suffix) {
    List<String> keys = new ArrayList<>();
    for (int i = 0; i < shared; i++) {
      keys.add("s" + i);
    }
    for (int i = 0; i < own; i++) {
      keys.add(suffix + i);
    }
    return keys;
  }

  @DataProvider
  public Object[][] cases() {
    PrefixHistory once = PrefixHistory.ofFirstRequest("s", chain(40, 2, "a"), 0);
    PrefixHistory twice = once.afterRequest(chain(40, 2, "b"), 60_000);
    PrefixHistory third = twice.afterRequest(chain(40, 2, "c"), 90_000);
    return new Object[][] {
      {
        "only the shared prefix of a repeated prompt is exported",
        twice,
        NEVER_REUSED,
        service(0, 0.01),
        0,
        40
      },
      {"the same after a third request", third, NEVER_REUSED, service(0, 0.01), 0, 40},
      {"stored blocks are not exported again", twice, NEVER_REUSED, service(0, 0.01), 40, 0},
      {"first request, high reuse rate", once, ALWAYS_REUSED, service(0, 0.01), 0, 42},
      {"first request, low reuse rate", once, NEVER_REUSED, service(0, 0.1), 0, 0},
      {"the link weight exceeds the savings", twice, ALWAYS_REUSED, service(0, 100), 0, 0},
      {
        "the recompute weight exceeds the link weight",
        twice,
        ALWAYS_REUSED,
        service(10, 100),
        0,
        40
      },
    };
  }

  @Test(dataProvider = "cases")
  public void blocksAreExportedIfSavingsExceedTheTransferCost(
      String name,
      PrefixHistory history,
      ReuseRate rate,
      Service service,
      int storedBlocks,
      int blocks) {
    assertEquals(
        ExportPolicy.decide(history, rate, service, storedBlocks, 1_000).blocks(), blocks, name);
  }

  @Test
  public void intervalsAreSmoothed() {
    PrefixHistory history =
        PrefixHistory.ofFirstRequest("s", chain(3, 0, ""), 0)
            .afterRequest(chain(3, 0, ""), 1_000)
            .afterRequest(chain(3, 0, ""), 3_000);
    assertEquals(history.intervalMs(), 1_300.0, 1e-9);
  }
}
