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

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the estimate of an engine's prefix cache, {@link PrefixCacheEstimate}. */
public final class PrefixCacheEstimateTest {
  private static final Prompt PROMPT =
      new Prompt("m", 10, List.of(new Prompt.Part("a", 500), new Prompt.Part("own", 100)));

  @Test
  public void partsAreCachedInTheirScope() {
    PrefixCacheEstimate parts = new PrefixCacheEstimate();
    parts.recordPrefill("v1", PROMPT, 10_000);
    assertEquals(parts.cachedPrefixTokens("v1", PROMPT), 600);
    assertEquals(parts.cachedPrefixTokens("v2", PROMPT), 0);
    parts.clear();
    assertEquals(parts.cachedPrefixTokens("v1", PROMPT), 0);
  }

  @Test
  public void leastRecentlyUsedPartsAreEvicted() {
    PrefixCacheEstimate parts = new PrefixCacheEstimate();
    parts.recordPrefill("v1", PROMPT, 10_000);
    parts.recordPrefill("v1", new Prompt("m", 10, List.of(new Prompt.Part("b", 2_900))), 10_000);
    assertEquals(parts.cachedPrefixTokens("v1", PROMPT), 0);
  }
}
