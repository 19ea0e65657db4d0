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

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.tls.TlsFiles;

/**
 * Defines the settings keys that processes have in common, and the patterns of common values. An
 * entry process has its own key {@link #PROCESS}.
 */
final class CommonKeys {
  static final String NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}";
  static final String NAME_DESCRIPTION = "a name of a-z, 0-9 and hyphens, 63 characters at most";
  static final String ADDRESS_PATTERN = "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}";
  static final String ADDRESS_DESCRIPTION = "an address such as 10.0.0.1:7000";
  static final String HOST_PATTERN = "[0-9a-fA-F.:]+";
  static final String HOST_DESCRIPTION = "an IP address";
  private static final String TLS_CERTIFICATE = "tls.certificate";
  private static final String TLS_PRIVATE_KEY = "tls.privateKey";
  private static final String TLS_AUTHORITY = "tls.authority";
  private static final String FILE_PATTERN = ".+";
  private static final String FILE_DESCRIPTION = "the path of a PEM file";
  static final String PROCESS = "process";
  static final int MAX_PORT = 65_535;

  static final List<SettingKey> KEYS =
      List.of(
          SettingKey.text(PROCESS, null, "gateway|controller", "gateway or controller"),
          SettingKey.text("vm", null, NAME_PATTERN, NAME_DESCRIPTION),
          SettingKey.text("dataCentre", null, NAME_PATTERN, NAME_DESCRIPTION),
          SettingKey.text("region", "default", NAME_PATTERN, NAME_DESCRIPTION),
          SettingKey.text("log.format", "text", "text|json", "text or json"),
          SettingKey.text("log.level", "info", "debug|info|warn|error", "a log level"),
          SettingKey.text(TLS_CERTIFICATE, "", FILE_PATTERN, FILE_DESCRIPTION),
          SettingKey.text(TLS_PRIVATE_KEY, "", FILE_PATTERN, FILE_DESCRIPTION),
          SettingKey.text(TLS_AUTHORITY, "", FILE_PATTERN, FILE_DESCRIPTION));

  private CommonKeys() {}

  /**
   * Returns the TLS files, or null if the settings name none. Relative paths are resolved against
   * the folder of the settings file.
   */
  static @Nullable TlsFiles tls(Path settingsFile, SettingsReader.Values values) {
    List<String> missing = new ArrayList<>();
    for (String key : List.of(TLS_CERTIFICATE, TLS_PRIVATE_KEY, TLS_AUTHORITY)) {
      if (values.text(key).isEmpty()) {
        missing.add(key);
      }
    }
    if (missing.size() == 3) {
      return null;
    }
    if (!missing.isEmpty()) {
      throw new SettingsException(
          settingsFile.toString(),
          1,
          "key '"
              + missing.get(0)
              + "' is missing; tls.certificate, tls.privateKey and tls.authority must be set together");
    }
    return new TlsFiles(
        settingsFile.resolveSibling(values.text(TLS_CERTIFICATE)),
        settingsFile.resolveSibling(values.text(TLS_PRIVATE_KEY)),
        settingsFile.resolveSibling(values.text(TLS_AUTHORITY)));
  }
}
