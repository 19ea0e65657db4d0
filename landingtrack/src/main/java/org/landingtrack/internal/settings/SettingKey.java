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
 * One key of a settings file: its dotted path, its type and what it may hold.
 *
 * @param path dotted path, for example {@code callers.port}
 * @param type what kind of value it takes
 * @param fallback the value when the key is missing; null means that the key is required
 * @param min smallest number allowed
 * @param max largest number allowed
 * @param pattern what a text, or each text of a list, must match
 * @param allowed what is allowed, in words
 */
record SettingKey(
    String path,
    Type type,
    @Nullable Object fallback,
    long min,
    long max,
    @Nullable Pattern pattern,
    String allowed) {

  /** Types of values. */
  enum Type {
    NUMBER,
    TEXT,
    TEXTS,
    DECIMAL,
    FLAG
  }

  static SettingKey number(String path, @Nullable Long fallback, long min, long max) {
    return new SettingKey(
        path, Type.NUMBER, fallback, min, max, null, "a whole number from " + min + " to " + max);
  }

  /** A number from 0 to 1, fractions included. */
  static SettingKey share(String path) {
    return decimal(path, 0, 1);
  }

  /** A number that may have a fraction: rates and allowances are parts of a whole fleet's. */
  static SettingKey decimal(String path, long min, long max) {
    return new SettingKey(
        path, Type.DECIMAL, null, min, max, null, "a number from " + min + " to " + max);
  }

  /** A number that may be left out. */
  static SettingKey decimalOr(String path, double fallback, long min, long max) {
    return new SettingKey(
        path, Type.DECIMAL, fallback, min, max, null, "a number from " + min + " to " + max);
  }

  static SettingKey flag(String path) {
    return new SettingKey(path, Type.FLAG, null, 0, 0, null, "true or false");
  }

  static SettingKey text(String path, @Nullable String fallback, String regex, String allowed) {
    return new SettingKey(path, Type.TEXT, fallback, 0, 0, Pattern.compile(regex), allowed);
  }

  static SettingKey texts(
      String path, @Nullable List<String> fallback, String regex, String allowed) {
    return new SettingKey(
        path, Type.TEXTS, fallback, 0, 0, Pattern.compile(regex), "a list, each " + allowed);
  }
}
