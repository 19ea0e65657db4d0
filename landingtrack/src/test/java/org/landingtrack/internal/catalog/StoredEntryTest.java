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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.StoredEntry.Change;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the size of an object's audit trail, in the platform and in replicas. */
public final class StoredEntryTest {
  private static final int PLATFORM_VALUE_BYTES = 1_000_000;

  private static StoredEntry entryWithChanges(int times, int specChars) {
    StoredEntry entry = new StoredEntry(Kind.TEAM, "t", 0, null, List.of());
    for (int i = 1; i <= times; i++) {
      JsonNode spec = Json.LENIENT.createObjectNode().put("text", i + "x".repeat(specChars));
      entry =
          entry.withChange(new Change("c" + i, i, "ann", "here", "update", i, entry.spec(), spec));
    }
    return entry;
  }

  @DataProvider
  public Object[][] trails() {
    return new Object[][] {
      // changes, characters of the content, changes in the trail
      {0, 10, 0},
      {1, 10, 1},
      {150, 100, 150},
      {300, 100, StoredEntry.MAX_AUDIT_CHANGES},
      {50, 30_000, 3},
      {5, 300_000, 1},
    };
  }

  /** For contents of any size, the value fits the platform and the last change is kept. */
  @Test(dataProvider = "trails")
  public void auditTrailIsLimitedByNumberAndSize(int changes, int chars, int kept) {
    StoredEntry entry = entryWithChanges(changes, chars);
    assertEquals(entry.audit().size(), kept);
    assertEquals(entry.version(), changes);
    assertTrue(changes == 0 || entry.hasChange("c" + changes));
    assertTrue(Json.write(entry).length() < PLATFORM_VALUE_BYTES);
  }

  /** A node holds every object, so replicas must not hold the whole trails. */
  @Test
  public void replicasHoldTheContentAndTheLastChange() {
    StoredEntry entry = entryWithChanges(24, 500);
    StoredEntry replica = entry.forReplicas();
    assertEquals(replica.spec(), entry.spec());
    assertEquals(replica.version(), entry.version());
    assertEquals(replica.audit().size(), 1);
    assertEquals(replica.audit().get(0).changeId(), "c24");
    assertTrue(Json.write(replica).length() < 1_000, "characters: " + Json.write(replica).length());
  }
}
