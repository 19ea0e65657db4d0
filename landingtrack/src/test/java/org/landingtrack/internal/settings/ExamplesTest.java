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
package org.landingtrack.internal.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Spec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the example settings and objects for operators are accepted unchanged. */
public final class ExamplesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final JsonMapper WITH_COMMENTS =
      JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  @DataProvider
  public Object[][] deployments() {
    return new Object[][] {{"kigali", "estimator-llm"}, {"sasaki", "kotoba"}};
  }

  @Test(dataProvider = "deployments")
  public void exampleSettingsAreValid(String folder, String service) {
    assertEquals(GatewaySettings.read(EXAMPLES.resolve(folder + "/gateway.json")).vm(), "entry-1");
    assertEquals(
        ControllerSettings.read(EXAMPLES.resolve(folder + "/controller.json")).peerPort(), 7100);
  }

  @Test(dataProvider = "deployments")
  public void exampleObjectsCanBeAppliedInFileOrder(String folder, String service)
      throws IOException {
    JsonNode objects =
        WITH_COMMENTS
            .readTree(Files.readString(EXAMPLES.resolve(folder + "/objects.json")))
            .path("objects");
    Catalog catalog = Catalog.EMPTY;
    for (JsonNode object : objects) {
      Kind kind = Kind.ofLabel(object.path("kind").asText()).orElseThrow();
      String name = object.path("name").asText();
      Spec spec = Json.read(name, object.path("spec").toString(), kind.specType());
      catalog.checkWrite(kind, name, spec);
      catalog = catalog.with(1, List.of(new Catalog.Update(kind, name, Optional.of(spec))));
    }
    assertEquals(catalog.servers(service).size(), 12);
    assertTrue(catalog.ofKind(Kind.TEAM).size() == 10);
  }
}
