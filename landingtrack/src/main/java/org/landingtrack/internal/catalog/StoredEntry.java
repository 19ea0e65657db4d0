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
 * The value that the Object API holds for one configuration object: its content and its audit
 * trail. Both are written by the same conditional update, so that neither exists without the other.
 *
 * @param spec content; null once the object is deleted
 * @param audit the last changes, oldest first, limited as in {@link #withChange}
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StoredEntry(
    Kind kind, String name, long version, @Nullable JsonNode spec, List<Change> audit) {
  /** Maximum number of changes in an entry; a new change drops the oldest ones. */
  public static final int MAX_AUDIT_CHANGES = 200;

  /**
   * Maximum number of characters of the contents in the changes; a value of the platform is at most
   * 1 MB.
   */
  static final int MAX_AUDIT_CHARS = 200_000;

  /** A change in the audit trail. Times are milliseconds since the Unix epoch. */
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

  /**
   * Returns the entry after a change. Drops the oldest changes beyond the limits; the new change
   * always stays.
   */
  public StoredEntry withChange(Change change) {
    List<Change> changes = new ArrayList<>(audit);
    changes.add(change);
    long chars = 0;
    int from = changes.size();
    while (from > 0 && changes.size() - from < MAX_AUDIT_CHANGES) {
      chars += changes.get(from - 1).chars();
      if (chars > MAX_AUDIT_CHARS && from < changes.size()) {
        break;
      }
      from--;
    }
    return new StoredEntry(
        kind, name, change.version(), change.after(), changes.subList(from, changes.size()));
  }

  /**
   * Returns the entry for replicas: the content, and the last change without its contents. The
   * whole audit trail stays in the Object API, since it would add many times the size of the
   * content on every node and every link.
   */
  public StoredEntry forReplicas() {
    if (audit.isEmpty()) {
      return this;
    }
    Change last = audit.get(audit.size() - 1);
    return new StoredEntry(kind, name, version, spec, List.of(last.withoutContents()));
  }

  /** Returns the key of an object in the Object API. */
  public static String key(Kind kind, String name) {
    return "config/" + kind.label() + "/" + name;
  }

  /** Returns true if the audit trail contains a change with this id. */
  public boolean hasChange(String changeId) {
    for (Change change : audit) {
      if (change.changeId().equals(changeId)) {
        return true;
      }
    }
    return false;
  }
}
