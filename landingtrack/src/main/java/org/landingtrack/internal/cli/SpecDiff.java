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

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Lists what a change does to an object's specification, one line for each changed key. */
final class SpecDiff {
  private static final int MAX_VALUE_LENGTH = 60;

  private SpecDiff() {}

  /**
   * Compares two specifications.
   *
   * @param before specification before the change; empty if the object is new
   * @param after specification after the change; empty if the object is deleted
   * @return lines such as {@code ~ maxQueue: 100 -> 200}, sorted by key
   */
  static List<String> lines(JsonNode before, JsonNode after) {
    Map<String, String> oldValues = flatten(before);
    Map<String, String> newValues = flatten(after);
    Map<String, String> allKeys = new TreeMap<>(oldValues);
    allKeys.putAll(newValues);
    List<String> lines = new ArrayList<>();
    for (String key : allKeys.keySet()) {
      @Nullable String oldValue = oldValues.get(key);
      @Nullable String newValue = newValues.get(key);
      if (oldValue == null) {
        lines.add("+ " + key + ": " + newValue);
      } else if (newValue == null) {
        lines.add("- " + key + ": " + oldValue);
      } else if (!oldValue.equals(newValue)) {
        lines.add("~ " + key + ": " + oldValue + " -> " + newValue);
      }
    }
    return lines;
  }

  private static Map<String, String> flatten(JsonNode node) {
    Map<String, String> flat = new TreeMap<>();
    flattenInto(flat, "", node);
    return flat;
  }

  private static void flattenInto(Map<String, String> flat, String path, JsonNode node) {
    if (!node.isObject()) {
      flat.put(path, truncate(node.toString()));
      return;
    }
    Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      String fieldPath = path.isEmpty() ? field.getKey() : path + "." + field.getKey();
      flattenInto(flat, fieldPath, field.getValue());
    }
  }

  private static String truncate(String value) {
    return value.length() <= MAX_VALUE_LENGTH ? value : value.substring(0, MAX_VALUE_LENGTH) + "…";
  }
}
