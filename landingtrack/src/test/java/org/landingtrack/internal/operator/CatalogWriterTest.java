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
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.StoredEntry;
import org.landingtrack.internal.config.ConfigDelta;
import org.landingtrack.internal.config.ConfigEntry;
import org.landingtrack.internal.config.ConfigReplica;
import org.landingtrack.internal.platform.FakeObjectApi;
import org.landingtrack.internal.platform.FakeObjectApi.Fault;
import org.landingtrack.internal.platform.ObjectApi;
import org.landingtrack.internal.platform.StoredObject;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that an accepted change is written exactly once, whatever answers the platform loses, and
 * that concurrent changes and outages neither lose a change nor accept it twice.
 */
public final class CatalogWriterTest {
  private static final Operator ANN = new Operator("ann", true, "here");

  /** A writer on a fake Object API; {@link #updateReplica} updates its replica, as a watch does. */
  private static final class Fixture {
    final FakeObjectApi api = new FakeObjectApi();
    final ConfigReplica replica = new ConfigReplica();
    final CatalogWriter writer =
        new CatalogWriter(api, replica, () -> 1_000L, new SplittableRandom(1), 0);

    Fixture() {
      updateReplica();
    }

    void updateReplica() {
      List<ConfigEntry> entries = new ArrayList<>();
      long newest = 0;
      for (StoredObject o :
          api.list(ObjectApi.CallClass.CONFIGURATION, "config/", "", 1_000).objects()) {
        entries.add(new ConfigEntry(o.key(), o.version(), o.revision(), o.value()));
        newest = Math.max(newest, o.revision());
      }
      replica.merge(0, new ConfigDelta(newest, entries));
    }

    StoredEntry stored(String name) {
      StoredObject object =
          api.read(ObjectApi.CallClass.CONFIGURATION, StoredEntry.key(Kind.MODEL, name))
              .orElseThrow();
      return Json.read("stored", object.value(), StoredEntry.class);
    }

    CatalogWriter.Outcome put(int tokens, long expected) {
      String spec = "{\"contextTokens\": " + tokens + ", \"kvBytesPerToken\": 1}";
      return writer.put(ANN, Kind.MODEL, "m", spec, expected, false);
    }
  }

  @DataProvider
  public Object[][] lostAnswers() {
    return new Object[][] {
      {new Fault[] {}},
      {new Fault[] {Fault.LOST_ANSWER}},
      {new Fault[] {Fault.LOST_CALL}},
      {new Fault[] {Fault.REJECTED, Fault.REJECTED}},
      {new Fault[] {Fault.LOST_CALL, Fault.REJECTED, Fault.LOST_ANSWER}},
      {new Fault[] {Fault.LOST_CALL, Fault.LOST_CALL, Fault.LOST_ANSWER, Fault.REJECTED}},
    };
  }

  /**
   * An accepted change is written exactly once, with exactly one audit entry, whichever calls or
   * answers are lost before.
   */
  @Test(dataProvider = "lostAnswers")
  public void anAcceptedChangeIsWrittenExactlyOnce(Fault[] faults) {
    Fixture fixture = new Fixture();
    fixture.api.failWrites(faults);
    CatalogWriter.Outcome outcome = fixture.put(10, 0);
    assertEquals(outcome.version(), 1);
    assertEquals(fixture.stored("m").audit().size(), 1);
    assertEquals(fixture.stored("m").audit().get(0).changeId(), outcome.changeId());
    assertEquals(fixture.api.writes(), 1);
  }

  @Test
  public void theConflictOfAStaleVersionNamesTheCurrentVersion() {
    Fixture fixture = new Fixture();
    fixture.put(10, 0);
    fixture.updateReplica();
    fixture.put(20, 1);
    fixture.updateReplica();
    LandingtrackException e = expectThrows(LandingtrackException.class, () -> fixture.put(30, 1));
    assertEquals(e.kind(), ErrorKind.VERSION_CONFLICT);
    assertEquals(e.getMessage(), "model/m has version 2, not 1; read it again");
  }

  @Test
  public void aChangeDuringAnOutageFailsAndWritesNothing() {
    Fixture fixture = new Fixture();
    fixture.api.outage(true);
    LandingtrackException e = expectThrows(LandingtrackException.class, () -> fixture.put(10, 0));
    assertEquals(e.kind(), ErrorKind.PLATFORM_UNAVAILABLE);
    fixture.api.outage(false);
    assertEquals(fixture.api.writes(), 0);
  }

  /**
   * Four operators change one object concurrently: each accepted change is in the audit trail, and
   * no version is used twice.
   */
  @Test
  public void concurrentChangesConflictAndNoneIsLost() throws Exception {
    Fixture fixture = new Fixture();
    fixture.put(1, 0);
    ExecutorService threads = Executors.newFixedThreadPool(4);
    List<Callable<List<String>>> operators = new ArrayList<>();
    for (int o = 0; o < 4; o++) {
      int number = o;
      operators.add(
          () -> {
            List<String> accepted = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
              try {
                accepted.add(fixture.put(100 * (number + 1) + i, -1).changeId());
              } catch (LandingtrackException e) {
                assertEquals(e.kind(), ErrorKind.VERSION_CONFLICT);
              }
            }
            return accepted;
          });
    }
    List<String> accepted = new ArrayList<>();
    for (Future<List<String>> future : threads.invokeAll(operators)) {
      accepted.addAll(future.get());
    }
    threads.shutdownNow();
    StoredEntry stored = fixture.stored("m");
    assertEquals(stored.audit().size(), accepted.size() + 1);
    assertEquals(stored.version(), accepted.size() + 1);
    for (String changeId : accepted) {
      assertTrue(stored.hasChange(changeId));
    }
  }

  @Test
  public void theAuditTrailIsBoundedAndSurvivesADelete() {
    Fixture fixture = new Fixture();
    int changes = StoredEntry.MAX_AUDIT_CHANGES + 16;
    for (int i = 0; i < changes; i++) {
      fixture.put(10 + i, -1);
      fixture.updateReplica();
    }
    fixture.writer.delete(ANN, Kind.MODEL, "m", -1);
    StoredEntry stored = fixture.stored("m");
    assertEquals(stored.audit().size(), StoredEntry.MAX_AUDIT_CHANGES);
    assertEquals(stored.audit().get(StoredEntry.MAX_AUDIT_CHANGES - 1).action(), "delete");
    fixture.updateReplica();
    assertEquals(fixture.put(5, 0).version(), changes + 2);
  }
}
