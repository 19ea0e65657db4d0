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

/**
 * Moves over the elements of a JSON array or the fields of an object. Finds the end of each value
 * by its brackets and quotation marks only, and without recursion. Not thread-safe.
 */
public final class JsonCursor {
  private final String document;
  private final int end;
  private final boolean named;
  private int position;
  private int nameStart;
  private int nameEnd;
  private int valueStart;
  private int valueEnd;
  private boolean started;

  JsonCursor(String document, int start, int end, boolean named) {
    this.document = document;
    this.position = start;
    this.end = end;
    this.named = named;
  }

  /**
   * Moves to the next value.
   *
   * @return false if there is none
   * @throws IOException if the text is malformed there
   */
  public boolean next() throws IOException {
    position = skipSpace(document, position, end);
    if (position == end) {
      return false;
    }
    if (started) {
      expect(',');
    }
    started = true;
    if (named) {
      nameStart = position + 1;
      if (position == end || document.charAt(position) != '"') {
        throw malformed(position);
      }
      position = skipValue(document, position, end);
      nameEnd = position - 1;
      position = skipSpace(document, position, end);
      expect(':');
    }
    valueStart = position;
    position = skipValue(document, position, end);
    valueEnd = position;
    return true;
  }

  private void expect(char separator) throws IOException {
    if (position == end || document.charAt(position) != separator) {
      throw malformed(position);
    }
    position = skipSpace(document, position + 1, end);
  }

  /** Returns the current value. */
  public JsonSlice value() {
    return new JsonSlice(document, valueStart, valueEnd);
  }

  /** Returns true if the current field has a name. */
  boolean isNamed(String name) throws IOException {
    if (JsonSlice.findBackslash(document, nameStart, nameEnd) >= 0) {
      return JsonSlice.unescape(document, nameStart, nameEnd).equals(name);
    }
    return nameEnd - nameStart == name.length() && document.startsWith(name, nameStart);
  }

  static int skipSpace(String text, int from, int to) {
    int position = from;
    while (position < to && isSpace(text.charAt(position))) {
      position++;
    }
    return position;
  }

  private static boolean isSpace(char c) {
    return c == ' ' || c == '\n' || c == '\r' || c == '\t';
  }

  /** Returns the position after the value that begins at {@code from}. */
  static int skipValue(String text, int from, int to) throws IOException {
    if (from == to) {
      throw malformed(from);
    }
    return switch (text.charAt(from)) {
      case '"' -> skipText(text, from, to);
      case '{', '[' -> skipContainer(text, from, to);
      default -> skipScalar(text, from, to);
    };
  }

  private static int skipText(String text, int from, int to) throws IOException {
    for (int i = from + 1; i < to; i++) {
      char c = text.charAt(i);
      if (c == '"') {
        return i + 1;
      }
      if (c == '\\') {
        i++;
      }
    }
    throw malformed(to);
  }

  private static int skipContainer(String text, int from, int to) throws IOException {
    int depth = 0;
    int position = from;
    while (position < to) {
      char c = text.charAt(position);
      if (c == '"') {
        position = skipText(text, position, to);
        continue;
      }
      position++;
      if (c == '{' || c == '[') {
        depth++;
      } else if (c == '}' || c == ']') {
        depth--;
      }
      if (depth == 0) {
        return position;
      }
    }
    throw malformed(to);
  }

  private static int skipScalar(String text, int from, int to) throws IOException {
    int position = from;
    while (position < to && isScalarChar(text.charAt(position))) {
      position++;
    }
    if (position == from) {
      throw malformed(from);
    }
    return position;
  }

  private static boolean isScalarChar(char c) {
    return c == '-' || c == '+' || c == '.' || Character.isLetterOrDigit(c);
  }

  private static IOException malformed(int position) {
    return new IOException("not JSON: malformed or incomplete at character " + position);
  }
}
