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
 * Validated settings of a controller process. Times are in milliseconds.
 *
 * @param objectApi base URL of the platform's Object API
 * @param vmList URL of the platform's VM list; empty if there is none
 * @param seeds peer addresses that are used when the VM list does not answer
 * @param operators known operators, each {@code name:role:sha256-of-key}
 * @param tls key and certificates for connections with other processes and operators; null without
 *     TLS
 */
public record ControllerSettings(
    String vm,
    String dataCentre,
    String region,
    String logFormat,
    String logLevel,
    String host,
    int peerPort,
    int operatorsPort,
    int httpPort,
    String objectApi,
    String vmList,
    List<String> seeds,
    List<String> operators,
    long probeMs,
    @Nullable TlsFiles tls) {

  private static final String URL_PATTERN = "http://.+|https://.+|";
  private static final List<SettingKey> KEYS = keys();

  private static List<SettingKey> keys() {
    List<SettingKey> keys = new ArrayList<>(CommonKeys.KEYS);
    keys.add(
        SettingKey.text("host", "127.0.0.1", CommonKeys.HOST_PATTERN, CommonKeys.HOST_DESCRIPTION));
    keys.add(SettingKey.number("ports.peer", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.number("ports.operators", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.number("ports.http", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.text("platform.objectApi", null, URL_PATTERN, "an http or https URL"));
    keys.add(SettingKey.text("platform.vmList", "", URL_PATTERN, "an http or https URL"));
    keys.add(
        SettingKey.textList(
            "seeds", List.of(), CommonKeys.ADDRESS_PATTERN, CommonKeys.ADDRESS_DESCRIPTION));
    keys.add(
        SettingKey.textList(
            "operators",
            List.of(),
            "[a-z0-9-]+:(reader|writer):[0-9a-f]{64}",
            "name:reader|writer:SHA-256 of the key in hex"));
    keys.add(SettingKey.number("membership.probeMs", 1_000L, 50, 60_000));
    return List.copyOf(keys);
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws SettingsException for the first error in the file
   */
  public static ControllerSettings read(Path path) {
    SettingsReader.Values values = SettingsReader.read(path, KEYS);
    return new ControllerSettings(
        values.text("vm"),
        values.text("dataCentre"),
        values.text("region"),
        values.text("log.format"),
        values.text("log.level"),
        values.text("host"),
        values.integer("ports.peer"),
        values.integer("ports.operators"),
        values.integer("ports.http"),
        values.text("platform.objectApi"),
        values.text("platform.vmList"),
        values.textList("seeds"),
        values.textList("operators"),
        values.number("membership.probeMs"),
        CommonKeys.tls(path, values));
  }
}
