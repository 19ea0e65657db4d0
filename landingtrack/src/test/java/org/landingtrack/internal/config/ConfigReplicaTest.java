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
package org.landingtrack.internal.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Model;
import org.landingtrack.internal.catalog.StoredEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that merging deltas in any order never reverts the configuration. */
public final class ConfigReplicaTest {
  private static ConfigEntry entry(String name, long revision, int tokens) {
    var spec = Json.STRICT.valueToTree(new Model(tokens, 1));
    StoredEntry stored =
        new StoredEntry(
            Kind.MODEL,
            name,
            revision,
            tokens == 0 ? null : (com.fasterxml.jackson.databind.JsonNode) spec,
            List.of());
    return new ConfigEntry(
        StoredEntry.key(Kind.MODEL, name), revision, revision, Json.write(stored));
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  /** Delayed, repeated and reordered deltas from stale peers must give the same configuration. */
  @Test(dataProvider = "seeds")
  public void neverRevertsForAnyOrderOfDeltas(long seed) {
    Random random = new Random(seed);
    ConfigReplica source = new ConfigReplica();
    ConfigReplica target = new ConfigReplica();
    List<ConfigDelta> sentDeltas = new ArrayList<>();
    long revision = 0;
    for (int step = 0; step < 200; step++) {
      revision += 1 + random.nextInt(3);
      ConfigEntry change = entry("m" + random.nextInt(5), revision, random.nextInt(4) * 10);
      source.merge(source.revision(), new ConfigDelta(revision, List.of(change)));
      sentDeltas.add(source.deltaAfter(target.revision()));
      Collections.shuffle(sentDeltas, random);
      long revisionBefore = target.revision();
      // A delta starts at the receiver's revision at the time of its pull, which never exceeds the
      // current one.
      ConfigDelta delta = sentDeltas.get(random.nextInt(sentDeltas.size()));
      target.merge(0, delta);
      assertTrue(target.revision() >= revisionBefore, "the revision decreased");
    }
    target.merge(target.revision(), source.deltaAfter(target.revision()));
    assertEquals(target.revision(), source.revision());
    assertEquals(target.catalog().ofKind(Kind.MODEL), source.catalog().ofKind(Kind.MODEL));
  }

  @Test
  public void anOlderEntryNeverReplacesANewerOne() {
    ConfigReplica replica = new ConfigReplica();
    replica.merge(0, new ConfigDelta(5, List.of(entry("m", 5, 50))));
    replica.merge(0, new ConfigDelta(4, List.of(entry("m", 4, 40))));
    assertEquals(replica.catalog().find(Kind.MODEL, "m").orElseThrow(), new Model(50, 1));
    assertEquals(replica.revision(), 5);
  }

  @Test
  public void aDeletedObjectDoesNotComeBackFromAStalePeer() {
    ConfigReplica replica = new ConfigReplica();
    replica.merge(0, new ConfigDelta(5, List.of(entry("m", 5, 0))));
    replica.merge(0, new ConfigDelta(4, List.of(entry("m", 4, 40))));
    assertTrue(replica.catalog().find(Kind.MODEL, "m").isEmpty());
  }

  @Test
  public void deltaWithAGapIsIgnored() {
    ConfigReplica replica = new ConfigReplica();
    assertFalse(replica.merge(7, new ConfigDelta(9, List.of(entry("m", 9, 10)))));
    assertEquals(replica.revision(), 0);
    assertFalse(replica.isComplete());
  }

  @Test
  public void anUnreadableEntryLeavesTheOldContentInForce() {
    ConfigReplica replica = new ConfigReplica();
    replica.merge(0, new ConfigDelta(1, List.of(entry("m", 1, 10))));
    ConfigEntry newer = new ConfigEntry(StoredEntry.key(Kind.MODEL, "m"), 2, 2, "{\"new\":1}");
    replica.merge(1, new ConfigDelta(2, List.of(newer)));
    assertEquals(replica.catalog().find(Kind.MODEL, "m").orElseThrow(), new Model(10, 1));
    assertEquals(replica.revision(), 2);
  }
}
