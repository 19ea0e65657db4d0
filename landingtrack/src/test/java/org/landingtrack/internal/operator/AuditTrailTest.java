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
package org.landingtrack.internal.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that the audit trail is complete while the platform answers, and that it says so when only
 * the last changes are known because the platform is out.
 */
public final class AuditTrailTest {
  private static final Operator ANN = new Operator("ann", true, "here");
  private static final int CHANGES = 5;

  private final FakeObjectApi api = new FakeObjectApi();
  private final ConfigReplica replica = new ConfigReplica();
  private final AuditTrail trail = new AuditTrail(api, replica);

  public AuditTrailTest() {
    long[] clock = {0};
    CatalogWriter writer =
        new CatalogWriter(api, replica, () -> clock[0]++, new SplittableRandom(1), 0);
    updateReplica();
    for (String name : List.of("a", "b")) {
      for (int i = 1; i <= CHANGES; i++) {
        String spec = "{\"contextTokens\":" + (1_000 + i) + ",\"kvBytesPerToken\":1000}";
        writer.put(ANN, Kind.MODEL, name, spec, -1, false);
        updateReplica();
      }
    }
  }

  /** Updates the replica from the Object API, as a controller's watch does. */
  private void updateReplica() {
    List<ConfigEntry> entries = new ArrayList<>();
    long newest = 0;
    for (StoredObject o : api.list(CallClass.CONFIGURATION, "config/", "", 100).objects()) {
      StoredEntry replicated = Json.read(o.key(), o.value(), StoredEntry.class).forReplicas();
      entries.add(new ConfigEntry(o.key(), o.version(), o.revision(), Json.write(replicated)));
      newest = Math.max(newest, o.revision());
    }
    replica.merge(0, new ConfigDelta(newest, entries));
  }

  @DataProvider
  public Object[][] questions() {
    return new Object[][] {
      // platform is out, object (empty: all), expected entries, expected completeness
      {false, "a", CHANGES, true},
      {true, "a", 1, false},
      {false, "", 2, false},
      {true, "", 2, false},
      {false, "never", 0, false},
    };
  }

  @Test(dataProvider = "questions")
  public void changesAreNewestFirstAndMarkedCompleteOrNot(
      boolean isOut, String name, int entries, boolean isComplete) {
    api.outage(isOut);
    AuditTrail.Page page =
        name.isEmpty()
            ? trail.lastChanges(Optional.of(Kind.MODEL), 100)
            : trail.changesOf(Kind.MODEL, name, 100);
    api.outage(false);
    assertEquals(page.entries().size(), entries);
    assertEquals(page.complete(), isComplete);
    for (int i = 1; i < page.entries().size(); i++) {
      long newer = page.entries().get(i - 1).change().atMs();
      assertTrue(newer > page.entries().get(i).change().atMs(), "not newest first");
    }
  }

  @Test
  public void anExplanationSaysThatEarlierChangesAreUnknown() {
    assertEquals(trail.explain(Kind.MODEL, "a").size(), 1 + CHANGES);
    api.outage(true);
    List<String> sentences = trail.explain(Kind.MODEL, "a");
    api.outage(false);
    assertEquals(sentences.size(), 3);
    assertTrue(sentences.get(2).contains("earlier changes are not known here"), sentences.get(2));
  }
}
