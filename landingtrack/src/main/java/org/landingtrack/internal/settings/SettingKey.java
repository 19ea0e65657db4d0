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

import java.util.List;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Describes a key of a settings file: its dotted path, its type and its allowed values. Immutable.
 *
 * @param path dotted path, for example {@code callers.port}
 * @param type type of its value
 * @param defaultValue default value if the key is missing; null if the key is required
 * @param min smallest allowed number
 * @param max largest allowed number
 * @param pattern pattern that a text, or each text of a list, must match
 * @param allowedValues allowed values in words, for error messages
 */
record SettingKey(
    String path,
    Type type,
    @Nullable Object defaultValue,
    long min,
    long max,
    @Nullable Pattern pattern,
    String allowedValues) {

  /** Types of values. */
  enum Type {
    NUMBER,
    TEXT,
    TEXT_LIST,
    DECIMAL,
    FLAG
  }

  static SettingKey number(String path, @Nullable Long defaultNumber, long min, long max) {
    return new SettingKey(
        path,
        Type.NUMBER,
        defaultNumber,
        min,
        max,
        null,
        "a whole number from " + min + " to " + max);
  }

  /** Creates a required key for a number from 0 to 1 that may have a fraction. */
  static SettingKey fraction(String path) {
    return decimal(path, 0, 1);
  }

  /**
   * Creates a required key for a number that may have a fraction. Rates and budgets need fractions
   * because they are shares of those of a whole fleet.
   */
  static SettingKey decimal(String path, long min, long max) {
    return new SettingKey(
        path, Type.DECIMAL, null, min, max, null, "a number from " + min + " to " + max);
  }

  /** Creates an optional key for a number that may have a fraction. */
  static SettingKey optionalDecimal(String path, double defaultDecimal, long min, long max) {
    return new SettingKey(
        path, Type.DECIMAL, defaultDecimal, min, max, null, "a number from " + min + " to " + max);
  }

  static SettingKey flag(String path) {
    return new SettingKey(path, Type.FLAG, null, 0, 0, null, "true or false");
  }

  /** Creates an optional key for true or false, which is false by default. */
  static SettingKey optionalFlag(String path) {
    return new SettingKey(path, Type.FLAG, false, 0, 0, null, "true or false");
  }

  static SettingKey text(String path, @Nullable String defaultText, String regex, String allowed) {
    return new SettingKey(path, Type.TEXT, defaultText, 0, 0, Pattern.compile(regex), allowed);
  }

  static SettingKey textList(
      String path, @Nullable List<String> defaultTexts, String regex, String allowed) {
    return new SettingKey(
        path,
        Type.TEXT_LIST,
        defaultTexts,
        0,
        0,
        Pattern.compile(regex),
        "a list, each " + allowed);
  }
}
