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
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests values, defaults and error messages of settings files, with those of a gateway. */
public final class SettingsReaderTest {
  private static final String VALID_SETTINGS =
      """
      {
        // a comment
        "process": "gateway", "vm": "entry-1", "dataCentre": "gasabo-hall",
        "callers": {"port": 8080},
        "controllers": ["10.0.0.1:7100"],
      }
      """;

  private static Path writeTempFile(String text) throws IOException {
    Path file = Files.createTempFile("settings", ".json");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text);
  }

  @Test
  public void readsValuesAndDefaults() throws IOException {
    GatewaySettings settings = GatewaySettings.read(writeTempFile(VALID_SETTINGS));
    assertEquals(settings.callersPort(), 8080);
    assertEquals(settings.controllers(), List.of("10.0.0.1:7100"));
    assertEquals(settings.routingPolicy(), "landingtrack");
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {
        "\"vm\": \"entry-1\"",
        "\"vm\": 7",
        3,
        "key 'vm' must be a name of a-z, 0-9 and hyphens, 63" + " characters at most"
      },
      {"\"vm\": \"entry-1\"", "\"wm\": \"entry-1\"", 3, "unknown key 'wm'"},
      {
        "\"vm\": \"entry-1\",",
        "",
        6,
        "key 'vm' is missing; it must be a name of a-z, 0-9 and" + " hyphens, 63 characters at most"
      },
      {"8080", "70000", 4, "key 'callers.port' must be a whole number from 0 to 65535"},
      {"8080", "\"8080\"", 4, "key 'callers.port' must be a whole number from 0 to 65535"},
      {"\"port\": 8080", "\"prt\": 8080", 4, "unknown key 'callers.prt'"},
      {
        "10.0.0.1:7100",
        "example",
        5,
        "key 'controllers' must be a list, each an address such as" + " 10.0.0.1:7000"
      },
      {
        "\"process\": \"gateway\"",
        "\"process\": \"proxy\"",
        3,
        "key 'process' must be gateway or" + " controller"
      },
    };
  }

  @Test(dataProvider = "faults")
  public void errorsNameFileLineKeyAndAllowedValues(
      String validText, String invalidText, int line, String error) throws IOException {
    Path file = writeTempFile(VALID_SETTINGS.replace(validText, invalidText));
    SettingsException e = expectThrows(SettingsException.class, () -> GatewaySettings.read(file));
    assertEquals(e.getMessage(), file + ":" + line + ": " + error);
  }

  @DataProvider
  public Object[][] notJson() {
    return new Object[][] {{"{"}, {"[]"}, {""}, {"{} {}"}, {"{\"vm\": \"a\", \"vm\": \"b\"}"}};
  }

  @Test(dataProvider = "notJson", expectedExceptions = SettingsException.class)
  public void rejectsFilesThatAreNotOneJsonObject(String text) throws IOException {
    GatewaySettings.read(writeTempFile(text));
  }
}
