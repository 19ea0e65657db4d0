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
package org.landingtrack.internal.model;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.model.ScheduleExplorer.Action;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores the platform, a controller that pulls configuration from it, and a gateway that pulls
 * from the controller, under all schedules of writes, pulls, late and reordered answers, and
 * restarts. A replica's revision never decreases, and a replica has all entries up to its revision.
 */
public final class ConfigModelTest {
  private static final List<String> NAMES = List.of("x", "y");

  private static class ConfigModel implements ScheduleExplorer.Model {
    private final List<ConfigEntry> history = new ArrayList<>();
    private final Map<ConfigReplica, Long> revisions = new HashMap<>();
    private ConfigReplica platform = new ConfigReplica();
    private ConfigReplica controller = new ConfigReplica();
    private ConfigReplica gateway = new ConfigReplica();
    private long inFlightAfterRevision;
    private ConfigDelta inFlightDelta = new ConfigDelta(0, List.of());

    ConfigModel() {
      platform.merge(0, new ConfigDelta(0, List.of()));
    }

    @Override
    public List<Action> actions() {
      return List.of(
          new Action("write x", () -> write("x")),
          new Action("write y", () -> write("y")),
          new Action("the controller pulls from the platform", () -> pull(platform, controller)),
          new Action("the gateway pulls from the controller", () -> pull(controller, gateway)),
          new Action("the platform sends an answer", this::sendAnswer),
          new Action("the answer reaches the controller", () -> deliverAnswer(controller)),
          new Action("the answer reaches the gateway", () -> deliverAnswer(gateway)),
          new Action("the gateway restarts", () -> gateway = new ConfigReplica()));
    }

    private void write(String name) {
      long revision = history.size() + 1L;
      String key = StoredEntry.key(Kind.MODEL, name);
      String value =
          "{\"kind\":\"MODEL\",\"name\":\"%s\",\"version\":%d,\"spec\":{\"contextTokens\":%d,\"kvBytesPerToken\":1},\"audit\":[]}"
              .formatted(name, revision, 1_000 + revision);
      history.add(new ConfigEntry(key, revision, revision, value));
      platform.merge(
          revision - 1, new ConfigDelta(revision, List.of(history.get(history.size() - 1))));
    }

    private static void pull(ConfigReplica from, ConfigReplica to) {
      if (from.isComplete()) {
        to.merge(to.revision(), from.deltaAfter(to.revision()));
      }
    }

    private void sendAnswer() {
      inFlightAfterRevision = gateway.revision();
      inFlightDelta = platform.deltaAfter(inFlightAfterRevision);
    }

    void deliverAnswer(ConfigReplica at) {
      at.merge(inFlightAfterRevision, inFlightDelta);
    }

    @Override
    public void checkInvariants() {
      for (ConfigReplica replica : List.of(controller, gateway)) {
        long previous = revisions.getOrDefault(replica, 0L);
        assertTrue(replica.revision() >= previous, "the revision decreased");
        revisions.put(replica, replica.revision());
        NAMES.forEach(name -> checkEntry(replica, name));
      }
    }

    private void checkEntry(ConfigReplica replica, String name) {
      String key = StoredEntry.key(Kind.MODEL, name);
      long expected = 0;
      for (ConfigEntry entry : history) {
        if (entry.key().equals(key) && entry.revision() <= replica.revision()) {
          expected = entry.revision();
        }
      }
      Optional<ConfigEntry> entryHeld = replica.entry(Kind.MODEL, name);
      long actual = entryHeld.map(ConfigEntry::revision).orElse(0L);
      assertTrue(actual >= expected, name + " at revision " + actual + " instead of " + expected);
    }
  }

  @Test
  public void allShortSchedulesNeverRevert() {
    assertTrue(ScheduleExplorer.exploreAll(ConfigModel::new, 5) == 32_768);
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  @Test(dataProvider = "seeds")
  public void longSchedulesNeverRevert(long seed) {
    ScheduleExplorer.exploreRandom(ConfigModel::new, seed, 500, 60);
  }

  /**
   * Verifies that the invariants detect a fault: a replica that merges every answer as if it had no
   * gap.
   */
  @Test
  public void anIgnoredGapIsDetected() {
    AssertionError error =
        expectThrows(
            AssertionError.class,
            () ->
                ScheduleExplorer.exploreRandom(
                    () ->
                        new ConfigModel() {
                          @Override
                          void deliverAnswer(ConfigReplica at) {
                            at.merge(0, super.inFlightDelta);
                          }
                        },
                    1,
                    500,
                    60));
    assertTrue(String.valueOf(error.getMessage()).contains("instead of"), error.getMessage());
  }
}
