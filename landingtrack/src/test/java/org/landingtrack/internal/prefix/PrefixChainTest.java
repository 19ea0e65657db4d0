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
package org.landingtrack.internal.prefix;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which prompts share block keys. */
public final class PrefixChainTest {
  private static final String PROMPT = "handbook ".repeat(5_000);

  @DataProvider
  public Object[][] others() {
    return new Object[][] {
      {"other", "s", "v1"},
      {"t", "other", "v1"},
      {"t", "s", "v2"},
      {"ts", "", "v1"},
      {"", "ts", "v1"},
      {"t", "sv", "1"},
    };
  }

  /** Different teams, services or weight versions never share a key, even for the same prompt. */
  @Test(dataProvider = "others")
  public void otherTeamServiceOrVersionSharesNoKey(String team, String service, String version) {
    PrefixChain own = PrefixChain.of("t", "s", "v1", PROMPT);
    PrefixChain other = PrefixChain.of(team, service, version, PROMPT);
    assertTrue(own.depth() > 10);
    assertTrue(Collections.disjoint(own.keys(), other.keys()));
  }

  @Test
  public void promptsShareKeysOfTheirCommonPrefix() {
    PrefixChain first = PrefixChain.of("t", "s", "v1", PROMPT + "question one");
    PrefixChain second = PrefixChain.of("t", "s", "v1", PROMPT + "another question");
    assertEquals(first.keys().subList(0, 21), second.keys().subList(0, 21));
    PrefixChain changed = PrefixChain.of("t", "s", "v1", "X" + PROMPT);
    assertTrue(Collections.disjoint(first.keys(), changed.keys()));
  }
}
