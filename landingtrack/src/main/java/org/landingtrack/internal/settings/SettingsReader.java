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
package org.landingtrack.internal.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Reads a settings file and validates it against a list of keys. */
final class SettingsReader {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private final String file;
  private final Map<String, SettingKey> keys = new HashMap<>();
  private final Map<String, Object> values = new HashMap<>();

  private SettingsReader(String file, List<SettingKey> keys) {
    this.file = file;
    for (SettingKey key : keys) {
      this.keys.put(key.path(), key);
    }
  }

  /**
   * Reads and validates a file.
   *
   * @throws SettingsException for the first error in the file
   */
  static Values read(Path path, List<SettingKey> keys) {
    SettingsReader reader = new SettingsReader(path.toString(), keys);
    String text;
    try {
      text = Files.readString(path);
    } catch (IOException e) {
      throw new SettingsException(path.toString(), 0, "the file cannot be read");
    }
    reader.parse(text);
    return new Values(reader.values);
  }

  private void parse(String text) {
    int lastLine = 1;
    try (JsonParser parser = MAPPER.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new SettingsException(file, 1, "the file must hold one JSON object");
      }
      readObject(parser, "");
      lastLine = parser.currentLocation().getLineNr();
      if (parser.nextToken() != null) {
        throw new SettingsException(file, lastLine, "the file must end after the JSON object");
      }
    } catch (JsonProcessingException e) {
      throw new SettingsException(file, lineOf(e), firstLine(e.getOriginalMessage()));
    } catch (IOException e) {
      throw new SettingsException(file, lastLine, "the file cannot be read");
    }
    fillDefaults(lastLine);
  }

  private void readObject(JsonParser parser, String prefix) throws IOException {
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String path = prefix + parser.currentName();
      int line = parser.currentLocation().getLineNr();
      JsonToken token = parser.nextToken();
      if (token == JsonToken.START_OBJECT && isSection(path)) {
        readObject(parser, path + ".");
        continue;
      }
      SettingKey key = keys.get(path);
      if (key == null) {
        throw new SettingsException(file, line, "unknown key '" + path + "'");
      }
      values.put(path, readValue(parser, key, line));
    }
  }

  private boolean isSection(String path) {
    for (String knownPath : keys.keySet()) {
      if (knownPath.startsWith(path + ".")) {
        return true;
      }
    }
    return false;
  }

  private Object readValue(JsonParser parser, SettingKey key, int line) throws IOException {
    return switch (key.type()) {
      case NUMBER -> number(parser, key, line);
      case TEXT -> text(parser, key, line);
      case TEXT_LIST -> textList(parser, key, line);
      case DECIMAL -> decimal(parser, key, line);
      case FLAG -> flag(parser, key, line);
    };
  }

  private Object number(JsonParser parser, SettingKey key, int line) throws IOException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw invalidValue(key, line);
    }
    long value = parser.getLongValue();
    if (value < key.min() || value > key.max()) {
      throw invalidValue(key, line);
    }
    return value;
  }

  private Object decimal(JsonParser parser, SettingKey key, int line) throws IOException {
    if (!parser.currentToken().isNumeric()) {
      throw invalidValue(key, line);
    }
    double value = parser.getDoubleValue();
    if (!(value >= key.min() && value <= key.max())) {
      throw invalidValue(key, line);
    }
    return value;
  }

  private Object flag(JsonParser parser, SettingKey key, int line) throws IOException {
    if (!parser.currentToken().isBoolean()) {
      throw invalidValue(key, line);
    }
    return parser.getBooleanValue();
  }

  private String text(JsonParser parser, SettingKey key, int line) throws IOException {
    if (parser.currentToken() != JsonToken.VALUE_STRING || !matches(key, parser.getText())) {
      throw invalidValue(key, line);
    }
    return parser.getText();
  }

  private Object textList(JsonParser parser, SettingKey key, int line) throws IOException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw invalidValue(key, line);
    }
    List<String> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(text(parser, key, parser.currentLocation().getLineNr()));
    }
    return List.copyOf(list);
  }

  private static boolean matches(SettingKey key, String value) {
    Pattern pattern = key.pattern();
    return pattern == null || pattern.matcher(value).matches();
  }

  private SettingsException invalidValue(SettingKey key, int line) {
    return new SettingsException(
        file, line, "key '" + key.path() + "' must be " + key.allowedValues());
  }

  private void fillDefaults(int lastLine) {
    List<String> missing = new ArrayList<>();
    for (SettingKey key : keys.values()) {
      if (values.containsKey(key.path())) {
        continue;
      }
      Object defaultValue = key.defaultValue();
      if (defaultValue == null) {
        missing.add(key.path());
        continue;
      }
      values.put(key.path(), defaultValue);
    }
    if (missing.isEmpty()) {
      return;
    }
    missing.sort(null);
    SettingKey first = keys.get(missing.get(0));
    if (first != null) {
      throw new SettingsException(
          file,
          lastLine,
          "key '" + first.path() + "' is missing; it must be " + first.allowedValues());
    }
  }

  private static int lineOf(JsonProcessingException e) {
    return e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
  }

  private static String firstLine(@Nullable String message) {
    String text = message == null ? "the file is not valid JSON" : message;
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }

  /** Holds the validated values by their path. Immutable. */
  static final class Values {
    private final Map<String, Object> values;

    private Values(Map<String, Object> values) {
      this.values = Map.copyOf(values);
    }

    long number(String path) {
      return (Long) value(path);
    }

    int integer(String path) {
      return (int) number(path);
    }

    String text(String path) {
      return (String) value(path);
    }

    double decimal(String path) {
      return (Double) value(path);
    }

    /** Returns a time in whole milliseconds; a fraction in the file is cut off. */
    long millis(String path) {
      return (long) decimal(path);
    }

    boolean flag(String path) {
      return (Boolean) value(path);
    }

    List<String> textList(String path) {
      List<String> list = new ArrayList<>();
      for (Object item : (List<?>) value(path)) {
        list.add((String) item);
      }
      return list;
    }

    private Object value(String path) {
      Object value = values.get(path);
      if (value == null) {
        throw new IllegalArgumentException("no settings key with the path " + path);
      }
      return value;
    }
  }
}
