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
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What the Object API holds for one configuration object: its content and its audit trail. Both are
 * written by the same conditional update, so that neither exists without the other.
 *
 * @param spec content; null once the object is deleted
 * @param audit the last changes, oldest first, as {@link #withChange} bounds them
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StoredEntry(
    Kind kind, String name, long version, @Nullable JsonNode spec, List<Change> audit) {
  /** Changes kept with an object; older ones are dropped when a new one is written. */
  public static final int MAX_AUDIT = 200;

  /** Characters of contents that the changes may hold; the platform's values end at 1 MB. */
  static final int MAX_AUDIT_CHARS = 200_000;

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
      @Nullable JsonNode after) {

    private long chars() {
      return chars(before) + chars(after);
    }

    private static long chars(@Nullable JsonNode content) {
      return content == null ? 0 : content.toString().length();
    }

    private Change withoutContents() {
      return new Change(changeId, atMs, operator, from, action, version, null, null);
    }
  }

  /** Returns the entry after a change; the oldest changes are dropped beyond the bounds. */
  public StoredEntry withChange(Change change) {
    List<Change> kept = new ArrayList<>(audit);
    kept.add(change);
    long chars = 0;
    int from = kept.size();
    while (from > 0 && kept.size() - from < MAX_AUDIT) {
      chars += kept.get(from - 1).chars();
      if (chars > MAX_AUDIT_CHARS && from < kept.size()) {
        break;
      }
      from--;
    }
    return new StoredEntry(
        kind, name, change.version(), change.after(), kept.subList(from, kept.size()));
  }

  /**
   * Returns what replicas hold: the content and, without contents, the last change. The whole trail
   * stays in the Object API; it would be many times the content, on every node and every link.
   */
  public StoredEntry forReplicas() {
    if (audit.isEmpty()) {
      return this;
    }
    Change last = audit.get(audit.size() - 1);
    return new StoredEntry(kind, name, version, spec, List.of(last.withoutContents()));
  }

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
