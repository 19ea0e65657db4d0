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
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads a JSON object from a stream and passes on the elements of one of its arrays one by one, so
 * that only one element at a time takes memory. Like {@link JsonCursor}, finds the end of an
 * element by its brackets and quotation marks only. Not thread-safe.
 */
public final class JsonArrayReader {
  private static final int CHUNK_BYTES = 8_192;

  /** Largest size of all that is not in the array. */
  private static final int MAX_REST_BYTES = 1 << 20;

  /** Most bytes of a field's name that are compared with the array's. */
  private static final int MAX_NAME_BYTES = 64;

  private final String arrayName;
  private final ElementConsumer consumer;

  /** The object without the elements of the array. */
  private final ByteBuilder rest = new ByteBuilder();

  private final ByteBuilder element = new ByteBuilder();

  /** The first bytes of the text that was read last outside of the array. */
  private final ByteBuilder lastText = new ByteBuilder();

  private int depth;
  private boolean isInText;
  private boolean isEscaped;
  private boolean isInArray;
  private boolean hasReadArray;
  private boolean hasElements;
  private boolean isArrayNamed;

  /** Receives the elements of an array in their order. */
  @FunctionalInterface
  public interface ElementConsumer {
    void accept(JsonSlice element) throws IOException;
  }

  private JsonArrayReader(String arrayName, ElementConsumer consumer) {
    this.arrayName = arrayName;
    this.consumer = consumer;
  }

  /**
   * Reads an object to the end of a stream.
   *
   * @param arrayName name of the object's field that has the array
   * @param consumer receives the elements; discard them if this method throws
   * @return the object with an empty array
   * @throws IOException if the stream cannot be read, or does not have one well-formed value
   */
  public static JsonSlice read(InputStream in, String arrayName, ElementConsumer consumer)
      throws IOException {
    JsonArrayReader reader = new JsonArrayReader(arrayName, consumer);
    byte[] chunk = new byte[CHUNK_BYTES];
    int count = in.read(chunk);
    while (count >= 0) {
      int i = 0;
      while (i < count) {
        int textEnd = reader.isInText ? endOfPlainText(chunk, i, count) : i;
        if (textEnd > i) {
          reader.acceptPlainText(chunk, i, textEnd);
          i = textEnd;
        } else {
          reader.accept(chunk[i++]);
        }
      }
      count = in.read(chunk);
    }
    return JsonSlice.of(reader.rest.isEmpty() ? "{}" : reader.rest.takeText());
  }

  /** Returns the position of the next byte with a meaning in a text. */
  private static int endOfPlainText(byte[] chunk, int from, int to) {
    int position = from;
    while (position < to && chunk[position] != '"' && chunk[position] != '\\') {
      position++;
    }
    return position;
  }

  private void acceptPlainText(byte[] chunk, int from, int to) throws IOException {
    isEscaped = false;
    if (isInArray) {
      element.add(chunk, from, to);
      return;
    }
    if (rest.size() + to - from > MAX_REST_BYTES) {
      throw tooLongOutside();
    }
    rest.add(chunk, from, to);
    lastText.add(chunk, from, Math.min(to, from + MAX_NAME_BYTES - lastText.size()));
  }

  private IOException tooLongOutside() {
    return new IOException("over " + MAX_REST_BYTES + " bytes outside of array " + arrayName);
  }

  private void accept(byte next) throws IOException {
    if (isInText) {
      acceptInText(next);
      return;
    }
    switch (next) {
      case '"' -> {
        isInText = true;
        lastText.clear();
        append(next);
      }
      case '{', '[' -> open(next);
      case '}', ']' -> close(next);
      case ',' -> separate(next);
      case ':' -> {
        isArrayNamed = !isInArray && depth == 1 && isLastTextArrayName();
        append(next);
      }
      default -> append(next);
    }
  }

  private void acceptInText(byte next) throws IOException {
    append(next);
    if (isEscaped) {
      isEscaped = false;
    } else if (next == '\\') {
      isEscaped = true;
    } else if (next == '"') {
      isInText = false;
      return;
    }
    if (!isInArray && lastText.size() < MAX_NAME_BYTES) {
      lastText.add(next);
    }
  }

  /** Returns true if the text that was read last is the name of the array. */
  private boolean isLastTextArrayName() throws IOException {
    if (lastText.size() == MAX_NAME_BYTES) {
      return false;
    }
    String name = lastText.takeText();
    return JsonSlice.unescape(name, 0, name.length()).equals(arrayName);
  }

  private void open(byte bracket) throws IOException {
    append(bracket);
    depth++;
    if (bracket != '[' || !isArrayNamed || isInArray || depth != 2) {
      return;
    }
    if (hasReadArray) {
      throw new IOException("not JSON of one meaning: two fields named " + arrayName);
    }
    isInArray = true;
    hasReadArray = true;
  }

  private void close(byte bracket) throws IOException {
    depth--;
    if (isInArray && depth == 1) {
      String last = element.takeText();
      if (hasElements || !last.isBlank()) {
        consumer.accept(JsonSlice.of(last));
      }
      isInArray = false;
    }
    append(bracket);
  }

  private void separate(byte comma) throws IOException {
    if (isInArray && depth == 2) {
      hasElements = true;
      consumer.accept(JsonSlice.of(element.takeText()));
      return;
    }
    isArrayNamed = false;
    append(comma);
  }

  private void append(byte next) throws IOException {
    if (isInArray) {
      element.add(next);
      return;
    }
    if (rest.size() >= MAX_REST_BYTES) {
      throw tooLongOutside();
    }
    rest.add(next);
  }

  /** Bytes of a text that grows. */
  private static final class ByteBuilder {
    private byte[] bytes = new byte[CHUNK_BYTES];
    private int size;

    void add(byte next) {
      if (size == bytes.length) {
        bytes = Arrays.copyOf(bytes, 2 * size);
      }
      bytes[size++] = next;
    }

    void add(byte[] source, int from, int to) {
      int length = to - from;
      if (size + length > bytes.length) {
        bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, size + length));
      }
      System.arraycopy(source, from, bytes, size, length);
      size += length;
    }

    int size() {
      return size;
    }

    boolean isEmpty() {
      return size == 0;
    }

    /** Returns the text and removes it; gives back the memory of a long one. */
    String takeText() {
      String text = new String(bytes, 0, size, StandardCharsets.UTF_8);
      clear();
      return text;
    }

    void clear() {
      size = 0;
      if (bytes.length > CHUNK_BYTES) {
        bytes = new byte[CHUNK_BYTES];
      }
    }
  }
}
