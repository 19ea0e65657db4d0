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

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the Object API holds for one configuration object: its content and its audit trail. Both are
 * written by the same conditional update, so that neither exists without the other.
 *
 * @param spec content; null once the object is deleted
 * @param audit the last changes, oldest first, {@link #MAX_AUDIT} at most
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StoredEntry(
    Kind kind, String name, long version, @Nullable JsonNode spec, List<Change> audit) {
  /** Changes kept with an object; older ones are dropped when a new one is written. */
  public static final int MAX_AUDIT = 24;

  /** One change. Times are milliseconds since the Unix epoch. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  public record Change(
      String changeId,
      long atMs,
      String operator,
      String from,
      String action,
      long version,
      @Nullable JsonNode before,
      @Nullable JsonNode after) {}

  /** Returns the key in the Object API. */
  public static String key(Kind kind, String name) {
    return "config/" + kind.label() + "/" + name;
  }

  /** Returns true if one of the kept changes has this id. */
  public boolean holdsChange(String changeId) {
    for (Change change : audit) {
      if (change.changeId().equals(changeId)) {
        return true;
      }
    }
    return false;
  }
}
