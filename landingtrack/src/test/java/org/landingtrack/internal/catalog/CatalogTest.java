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
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks which writes and deletes a catalog rejects, and its lookups. */
public final class CatalogTest {
  private static final Team TEAM = new Team(List.of(Hashes.sha256Hex("key")), 10, 10, 10, 1);
  private static final Service SERVICE =
      new Service("model", "v1", 1, 0.1, 0.1, 1_000, 10, 10, null);
  private static final BackendServer SERVER =
      new BackendServer("llm", "10.0.0.1:80", "obihiro", 8, true, false);
  private static final Catalog CATALOG =
      Catalog.EMPTY.with(
          1,
          List.of(
              update(Kind.TEAM, "quotes", TEAM),
              update(Kind.MODEL, "m", new Model(1_000, 10)),
              update(Kind.WEIGHT_VERSION, "v1", new WeightVersion("m", "w/1")),
              update(Kind.SERVICE, "llm", SERVICE),
              update(Kind.BACKEND_SERVER, "r1", SERVER),
              update(Kind.RULE, "one", new Rule("quotes", "llm", 3))));

  private static Catalog.Update update(Kind kind, String name, Spec spec) {
    return new Catalog.Update(kind, name, Optional.of(spec));
  }

  @DataProvider
  public Object[][] specs() {
    return new Object[][] {
      {TEAM},
      {SERVICE},
      {SERVER},
      {new Model(1, 1)},
      {new WeightVersion("m", "s")},
      {new Rule("t", "s", 1)},
    };
  }

  @Test(dataProvider = "specs")
  public void specsSurviveSerialization(Spec spec) {
    assertEquals(Json.read("spec", Json.write(spec), spec.getClass()), spec);
  }

  @DataProvider
  public Object[][] badWrites() {
    return new Object[][] {
      {
        Kind.TEAM,
        "Bad Name",
        TEAM,
        "name must be 1 to 63 characters of a-z, 0-9 and hyphen, the first not a hyphen; it is"
            + " 'Bad Name'"
      },
      {
        Kind.TEAM,
        "t",
        new Team(List.of("x"), 1, 1, 1, 1),
        "keySha256 must be 64 hex digits, not" + " 'x'"
      },
      {
        Kind.TEAM,
        "t",
        new Team(List.of(), 0, 1, 1, 1),
        "requestsPerSecond must be from 0.1 to" + " 100000, not 0"
      },
      {Kind.TEAM, "other", TEAM, "a key in keySha256 already belongs to another team"},
      {
        Kind.RULE,
        "two",
        new Rule("quotes", "llm", 1),
        "rule/one already exists for this team and service"
      },
      {
        Kind.RULE,
        "two",
        new Rule("nobody", "llm", 1),
        "team/nobody does not exist; create it" + " first"
      },
      {
        Kind.WEIGHT_VERSION,
        "v2",
        new WeightVersion("none", "s"),
        "model/none does not exist;" + " create it first"
      },
      {
        Kind.SERVICE,
        "s",
        new Service("model", null, 1, 1, 1, 1, 1, 1, null),
        "weightVersion must" + " be given for type model"
      },
      {
        Kind.SERVICE,
        "s",
        new Service("plain", "v1", 1, 1, 1, 1, 1, 1, null),
        "weightVersion is" + " only for type model"
      },
      {
        Kind.BACKEND_SERVER,
        "r2",
        new BackendServer("llm", "host", "a", 1, true, false),
        "address" + " must be an address such as 10.0.0.7:8000, not 'host'"
      },
    };
  }

  @Test(dataProvider = "badWrites")
  public void rejectsInvalidWrites(Kind kind, String name, Spec spec, String reason) {
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> CATALOG.checkWrite(kind, name, spec));
    assertEquals(e.kind(), ErrorKind.BAD_REQUEST);
    assertEquals(e.getMessage().replaceFirst("^[a-z-]+/[^:]*: ", ""), reason);
  }

  @DataProvider
  public Object[][] used() {
    return new Object[][] {
      {Kind.MODEL, "m", "weight-version/v1"},
      {Kind.WEIGHT_VERSION, "v1", "service/llm"},
      {Kind.SERVICE, "llm", "backend-server/r1"},
      {Kind.TEAM, "quotes", "rule/one"},
    };
  }

  @Test(dataProvider = "used")
  public void rejectsDeletesOfReferencedObjects(Kind kind, String name, String user) {
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> CATALOG.checkDelete(kind, name));
    assertEquals(e.kind(), ErrorKind.IN_USE);
    assertEquals(e.getMessage().contains(user), true, e.getMessage());
  }

  @Test
  public void toleratesReferencesToDeletedObjects() {
    Catalog afterDelete =
        CATALOG.with(2, List.of(new Catalog.Update(Kind.TEAM, "quotes", Optional.empty())));
    assertEquals(afterDelete.teamOfKey(Hashes.sha256Hex("key")), Optional.empty());
    assertEquals(afterDelete.servers("llm").size(), 1);
  }
}
