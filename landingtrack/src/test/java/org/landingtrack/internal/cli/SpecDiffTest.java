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
package org.landingtrack.internal.cli;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.landingtrack.internal.base.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which lines {@link SpecDiff} lists for changed, new and removed keys. */
public final class SpecDiffTest {
  @DataProvider
  public Object[][] changes() {
    return new Object[][] {
      {"{}", "{}", List.of()},
      {"{\"a\":1}", "{\"a\":1}", List.of()},
      {"{\"a\":1}", "{\"a\":2}", List.of("~ a: 1 -> 2")},
      {"{}", "{\"b\":\"x\",\"a\":[1]}", List.of("+ a: [1]", "+ b: \"x\"")},
      {"{\"a\":{\"b\":1,\"c\":2}}", "{\"a\":{\"b\":1}}", List.of("- a.c: 2")},
      {"{\"a\":1}", "{\"a\":{\"b\":1}}", List.of("- a: 1", "+ a.b: 1")},
      {"{}", "{\"a\":\"" + "x".repeat(80) + "\"}", List.of("+ a: \"" + "x".repeat(59) + "…")},
    };
  }

  @Test(dataProvider = "changes")
  public void eachChangedKeyHasOneLine(String before, String after, List<String> expectedLines)
      throws Exception {
    assertEquals(
        SpecDiff.lines(Json.LENIENT.readTree(before), Json.LENIENT.readTree(after)), expectedLines);
  }
}
