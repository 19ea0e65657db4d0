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
package org.landingtrack.internal.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that JSON is split as a parser would split it, and that any text is split or rejected. */
public final class JsonSliceTest {
  private static final long SEED = 64;
  private static final int ROUNDS = 20_000;
  private static final List<String> SCALARS =
      List.of(
          "null",
          "true",
          "-0",
          "1e400",
          "9223372036854775808",
          "\"\"",
          "\"]},:\"",
          "\"\\\\\"",
          "\"\\\"\\u00e9\\n\"",
          "\"\\ud800\"");
  private static final List<String> NAMES = List.of("a", "b", "\\u0061", "", "]\\\"");

  private static String randomValue(Random random, int depth) {
    int shape = random.nextInt(depth == 0 ? 1 : 3);
    if (shape == 0) {
      return SCALARS.get(random.nextInt(SCALARS.size()));
    }
    List<String> values = new ArrayList<>();
    for (int i = random.nextInt(4); i > 0; i--) {
      String name = shape == 1 ? "" : "\"" + NAMES.get(random.nextInt(NAMES.size())) + "\" : ";
      values.add(name + randomValue(random, depth - 1));
    }
    String content = String.join(" ,\n", values);
    return shape == 1 ? "[" + content + " ]" : "{ " + content + "}";
  }

  private static void assertSame(JsonSlice slice, JsonNode node) throws IOException {
    assertEquals(slice.isObject(), node.isObject());
    assertEquals(slice.isArray(), node.isArray());
    assertEquals(slice.isTrue(), node.booleanValue());
    assertEquals(slice.asLong(7), node.canConvertToLong() && node.isInt() ? node.asLong() : 7);
    if (node.isTextual()) {
      assertEquals(slice.text(), node.asText());
    }
    assertEquals(slice.field("a").isPresent(), node.has("a"));
    if (node.has("a")) {
      assertSame(slice.field("a"), node.get("a"));
    }
    JsonCursor elements = slice.elements();
    if (node.isArray()) {
      for (JsonNode element : node) {
        assertTrue(elements.next());
        assertSame(elements.value(), element);
      }
    }
    assertFalse(elements.next());
  }

  @Test
  public void valuesAreThoseOfAParser() throws IOException {
    Random random = new Random(SEED);
    for (int round = 0; round < ROUNDS; round++) {
      String json = randomValue(random, 4);
      assertSame(JsonSlice.of(" " + json + "\n"), Json.LENIENT.readTree(json));
    }
  }

  private static int countValues(JsonSlice slice) throws IOException {
    int count = 1;
    for (JsonCursor cursor : List.of(slice.elements(), slice.fields())) {
      while (cursor.next()) {
        count += countValues(cursor.value());
      }
    }
    return count;
  }

  /** Cuts and changes texts; nothing but an IOException may be thrown. */
  @Test
  public void anyTextIsSplitOrRejected() {
    Random random = new Random(SEED);
    int rejected = 0;
    for (int round = 0; round < ROUNDS; round++) {
      StringBuilder text = new StringBuilder("[" + randomValue(random, 4) + "]");
      if (random.nextBoolean()) {
        text.setLength(random.nextInt(text.length()));
      } else {
        text.setCharAt(random.nextInt(text.length()), "[]{}\",:\\x1 ".charAt(random.nextInt(11)));
      }
      try {
        assertTrue(countValues(JsonSlice.of(text.toString())) > 0);
      } catch (IOException e) {
        rejected++;
      }
    }
    assertTrue(rejected > ROUNDS / 4 && rejected < ROUNDS, "rejected " + rejected);
  }

  @DataProvider
  public Object[][] incomplete() {
    return new Object[][] {
      {""}, {" "}, {"["}, {"\""}, {"\"\\"}, {"{\"a\":[}"}, {"[1"}, {"]"}, {"1 2"}, {"{} {}"}
    };
  }

  @Test(dataProvider = "incomplete")
  public void incompleteTextIsRejected(String text) {
    assertThrows(IOException.class, () -> JsonSlice.of(text));
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {{"[1 2]"}, {"[,]"}, {"[1,]"}, {"{1:2}"}, {"{\"a\"}"}, {"{\"a\":}"}};
  }

  @Test(dataProvider = "malformed")
  public void malformedContentIsRejected(String text) throws IOException {
    JsonSlice slice = JsonSlice.of(text);
    assertThrows(IOException.class, () -> countValues(slice));
  }

  @Test
  public void nestingAndDigitsAreNotLimited() throws IOException {
    int depth = 1_000_000;
    String nested = "[".repeat(depth) + "{\"a\":1}" + "]".repeat(depth);
    String number = "9".repeat(depth);
    JsonSlice slice = JsonSlice.of("{\"x\":" + nested + ",\"a\":" + number + ",\"at\":5}");
    assertEquals(slice.field("at").asLong(0), 5);
    assertEquals(slice.field("a").asLong(-1), -1);
    assertEquals(slice.field("x").json().length(), nested.length());
  }
}
