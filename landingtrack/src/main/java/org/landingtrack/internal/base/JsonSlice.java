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

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Value within a JSON text, located but not parsed. Splits a document that has values of several
 * writers, so that each can be parsed by itself: neither nesting nor the length of a number is
 * limited, and a value takes no memory until it is read. Immutable and thread-safe.
 */
public final class JsonSlice {
  private static final JsonSlice MISSING = new JsonSlice("", 0, 0);

  /** Most characters of a number that fits into a long. */
  private static final int MAX_LONG_CHARS = 20;

  /** Most characters of a number with a fraction. */
  private static final int MAX_DECIMAL_CHARS = 40;

  /** Doubles below this hold every whole number. */
  private static final double MAX_EXACT_DOUBLE = 1L << 53;

  private static final int HEX_DIGITS = 4;
  private static final int HEX_RADIX = 16;

  private final String document;
  private final int start;
  private final int end;

  JsonSlice(String document, int start, int end) {
    this.document = document;
    this.start = start;
    this.end = end;
  }

  /**
   * Returns the only value of a text.
   *
   * @throws IOException if the text has no value, an incomplete one, or more than one
   */
  public static JsonSlice of(String json) throws IOException {
    int start = JsonCursor.skipSpace(json, 0, json.length());
    int end = JsonCursor.skipValue(json, start, json.length());
    if (JsonCursor.skipSpace(json, end, json.length()) < json.length()) {
      throw new IOException("not JSON: text after the end of the value at character " + end);
    }
    return new JsonSlice(json, start, end);
  }

  /** Returns true if there is a value, which may be null. */
  public boolean isPresent() {
    return start < end;
  }

  public boolean isObject() {
    return startsWith('{');
  }

  public boolean isArray() {
    return startsWith('[');
  }

  public boolean isText() {
    return startsWith('"');
  }

  private boolean startsWith(char c) {
    return isPresent() && document.charAt(start) == c;
  }

  /** Returns the number of characters of the value as it is written. */
  public int length() {
    return end - start;
  }

  /** Returns the elements of an array; none if this is another value. */
  public JsonCursor elements() {
    return cursor(isArray(), false);
  }

  /** Returns the fields of an object; none if this is another value. */
  public JsonCursor fields() {
    return cursor(isObject(), true);
  }

  private JsonCursor cursor(boolean hasContent, boolean named) {
    return hasContent
        ? new JsonCursor(document, start + 1, end - 1, named)
        : new JsonCursor("", 0, 0, named);
  }

  /**
   * Returns the last field of a name; a value that is not present if there is none.
   *
   * @throws IOException if this object is malformed
   */
  public JsonSlice field(String name) throws IOException {
    if (!isObject()) {
      return MISSING;
    }
    JsonSlice found = MISSING;
    JsonCursor fields = fields();
    while (fields.next()) {
      if (fields.isNamed(name)) {
        found = fields.value();
      }
    }
    return found;
  }

  /**
   * Returns the last field of each name, in the order of the names and in one pass over this
   * object; values that are not present for missing ones.
   *
   * @throws IOException if this object is malformed
   */
  public List<JsonSlice> fields(String... names) throws IOException {
    List<JsonSlice> found = new ArrayList<>(Collections.nCopies(names.length, MISSING));
    JsonCursor fields = fields();
    while (fields.next()) {
      for (int i = 0; i < names.length; i++) {
        if (fields.isNamed(names[i])) {
          found.set(i, fields.value());
        }
      }
    }
    return found;
  }

  /** Returns the value as a whole number; {@code fallback} if it is none in the range of a long. */
  public long asLong(long fallback) {
    if (!isPresent() || end - start > MAX_LONG_CHARS) {
      return fallback;
    }
    try {
      return Long.parseLong(document, start, end, 10);
    } catch (NumberFormatException e) {
      return fallback;
    }
  }

  /**
   * Returns the whole part of a number; {@code fallback} if the value is no number in the range of
   * a long.
   */
  public long asWholeNumber(long fallback) {
    if (!isPresent()
        || end - start > MAX_DECIMAL_CHARS
        || Character.isLetter(document.charAt(start))) {
      return fallback;
    }
    try {
      double value = Double.parseDouble(json());
      boolean isExact = Math.abs(value) < MAX_EXACT_DOUBLE;
      return isExact ? (long) value : asLong(fallback);
    } catch (NumberFormatException e) {
      return fallback;
    }
  }

  /** Returns true if the value is {@code true}. */
  public boolean isTrue() {
    return document.regionMatches(start, "true", 0, end - start) && end - start == 4;
  }

  /**
   * Returns the text that this value states.
   *
   * @throws IOException if it is no text, or has an invalid escape sequence
   */
  public String text() throws IOException {
    if (!isText()) {
      throw new IOException("not a text: " + this);
    }
    return unescape(document, start + 1, end - 1);
  }

  /** Returns the value as it is written. */
  public String json() {
    return document.substring(start, end);
  }

  static String unescape(String source, int from, int to) throws IOException {
    int backslash = findBackslash(source, from, to);
    if (backslash < 0) {
      return source.substring(from, to);
    }
    StringBuilder text = new StringBuilder(to - from);
    int position = from;
    while (backslash >= 0) {
      text.append(source, position, backslash);
      char code = source.charAt(backslash + 1);
      position = backslash + 2;
      if (code == 'u') {
        text.append(unicode(source, position, to));
        position += HEX_DIGITS;
      } else {
        text.append(escaped(code));
      }
      backslash = findBackslash(source, position, to);
    }
    return text.append(source, position, to).toString();
  }

  /** Returns the position of the first backslash in a part of a text; -1 if there is none. */
  static int findBackslash(String source, int from, int to) {
    for (int i = from; i < to; i++) {
      if (source.charAt(i) == '\\') {
        return i;
      }
    }
    return -1;
  }

  private static char unicode(String source, int from, int to) throws IOException {
    if (from + HEX_DIGITS > to) {
      throw new IOException("not JSON: incomplete escape sequence in a text");
    }
    int code = 0;
    for (int i = from; i < from + HEX_DIGITS; i++) {
      int digit = Character.digit(source.charAt(i), HEX_RADIX);
      if (digit < 0) {
        throw new IOException("not JSON: invalid escape sequence in a text");
      }
      code = code * HEX_RADIX + digit;
    }
    return (char) code;
  }

  private static char escaped(char code) throws IOException {
    return switch (code) {
      case '"', '\\', '/' -> code;
      case 'b' -> '\b';
      case 'f' -> '\f';
      case 'n' -> '\n';
      case 'r' -> '\r';
      case 't' -> '\t';
      default -> throw new IOException("not JSON: invalid escape sequence in a text");
    };
  }

  /** Returns the first characters of the value, for messages. */
  @Override
  public String toString() {
    int maxChars = 40;
    return end - start <= maxChars ? json() : document.substring(start, start + maxChars) + "...";
  }
}
