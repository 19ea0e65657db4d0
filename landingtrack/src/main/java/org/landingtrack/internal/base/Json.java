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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;

/** Shared JSON mappers and helpers to read and write JSON. Thread-safe. */
public final class Json {
  /** Rejects unknown keys: for objects whose schema landingtrack defines. */
  public static final ObjectMapper STRICT =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
          .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
          .build();

  /** Ignores unknown keys: for answers of other systems. */
  public static final ObjectMapper LENIENT =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Json() {}

  /** Writes a value as compact JSON. */
  public static String write(Object value) {
    try {
      return STRICT.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new LandingtrackException(ErrorKind.INTERNAL, "cannot write JSON", e);
    }
  }

  /**
   * Reads a value strictly.
   *
   * @param source names the text in the error message
   * @throws LandingtrackException with {@code BAD_REQUEST} if the text does not fit the type, or is
   *     null
   */
  public static <T> T read(String source, String json, Class<T> type) {
    @Nullable T value;
    try {
      value = STRICT.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST, source + ": " + firstLine(e.getOriginalMessage()), e);
    }
    if (value == null) {
      throw new LandingtrackException(ErrorKind.BAD_REQUEST, source + ": the value is null");
    }
    return value;
  }

  private static String firstLine(String message) {
    int end = message.indexOf('\n');
    return end < 0 ? message : message.substring(0, end);
  }
}
