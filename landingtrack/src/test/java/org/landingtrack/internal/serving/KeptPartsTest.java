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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

public final class KeptPartsTest {
  private static final Prompt.Part SHARED = new Prompt.Part("a", 500);
  private static final Prompt.Part OWN = new Prompt.Part("own", 100);
  private static final Prompt PROMPT = new Prompt("m", 10, List.of(SHARED, OWN));

  private final KeptParts kept = new KeptParts();

  @Test
  public void whatTheEngineTellsIsBelievedWhileItTells() {
    KeptParts parts = new KeptParts();
    parts.listed(Map.of("v1/a", 500), 0);
    assertTrue(parts.holds("v1", SHARED, KeptParts.TOLD_MS));
    assertFalse(parts.holds("v2", SHARED, 0), "another scope");
    assertFalse(parts.holds("v1", SHARED, KeptParts.TOLD_MS + 1), "old news");
  }

  @Test
  public void aPartThatGaveWayInPartEndsThePrefix() {
    KeptParts parts = new KeptParts();
    parts.listed(Map.of("v1/a", 500, "v1/own", 100), 0);
    assertEquals(parts.leadingTokens("v1", PROMPT, 0), 600);
    parts.changed("v1/a", 128, 1);
    assertEquals(parts.leadingTokens("v1", PROMPT, 1), 128);
    assertFalse(parts.holds("v1", SHARED, 1), "no source of a whole part");
    parts.changed("v1/a", 0, 2);
    assertEquals(parts.leadingTokens("v1", PROMPT, 2), 0);
  }

  @Test
  public void whatWasSentIsExpectedUntilTheEngineShouldHaveTold() {
    KeptParts parts = new KeptParts();
    parts.listed(Map.of(), 0);
    parts.sent("v1", PROMPT, 0);
    assertEquals(parts.leadingTokens("v1", PROMPT, 100), 600);
    assertFalse(parts.holds("v1", SHARED, 100), "not read yet, so no source");
    parts.confirmed(1_500);
    assertEquals(parts.leadingTokens("v1", PROMPT, 1_500), 0);
  }

  @Test
  public void learnedWeightsLeaveWhatTheEngineTold() {
    kept.listed(Map.of("v1/a", 500), 0);
    kept.weightsChanged();
    assertTrue(kept.holds("v1", SHARED, 0));
  }

  @Test
  public void anEngineThatTellsNothingIsGuessedByWhatItRead() {
    KeptParts parts = new KeptParts();
    parts.read("v1", PROMPT, 10_000);
    assertEquals(parts.leadingTokens("v1", PROMPT, 0), 600);
    parts.read("v1", new Prompt("m", 10, List.of(new Prompt.Part("b", 2_900))), 10_000);
    assertEquals(parts.leadingTokens("v1", PROMPT, 0), 0, "0.3 of its memory is guessed");
  }
}
