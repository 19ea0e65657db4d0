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
package org.landingtrack.internal.catalog;

import java.util.regex.Pattern;

/**
 * Checks of single values in specs. A failed check throws {@link IllegalArgumentException} with the
 * key, the allowed values and the value.
 */
final class SpecChecks {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");

  private SpecChecks() {}

  static void name(String key, String value) {
    if (!NAME.matcher(value).matches()) {
      throw new IllegalArgumentException(
          key
              + " must be 1 to 63 characters of a-z, 0-9 and hyphen, the first not a hyphen; it is '"
              + value
              + "'");
    }
  }

  static void range(String key, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new IllegalArgumentException(
          key + " must be from " + format(min) + " to " + format(max) + ", not " + format(value));
    }
  }

  static void matches(String key, String value, String regex, String allowed) {
    if (!value.matches(regex)) {
      throw new IllegalArgumentException(key + " must be " + allowed + ", not '" + value + "'");
    }
  }

  private static String format(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }
}
