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
 * Validated settings of a gateway process. Times are in milliseconds, sizes in bytes.
 *
 * @param controllers addresses of the peer ports of controllers, the one on the same VM first
 * @param routingPolicy routing policy; the policies other than {@code landingtrack} are baselines
 *     for measurements
 * @param tls key and certificates for connections with other processes and operators; null without
 *     TLS
 */
public record GatewaySettings(
    String vm,
    String dataCentre,
    String region,
    String logFormat,
    String logLevel,
    String callersHost,
    int callersPort,
    List<String> controllers,
    int maxBodyBytes,
    long bodyTimeoutMs,
    long defaultDeadlineMs,
    long stopGraceMs,
    int maxConcurrentRequests,
    String routingPolicy,
    long routingSeed,
    @Nullable TlsFiles tls) {

  private static final List<SettingKey> KEYS = keys();

  private static List<SettingKey> keys() {
    List<SettingKey> keys = new ArrayList<>(CommonKeys.KEYS);
    keys.add(
        SettingKey.text(
            "callers.host", "127.0.0.1", CommonKeys.HOST_PATTERN, CommonKeys.HOST_DESCRIPTION));
    keys.add(SettingKey.number("callers.port", null, 0, CommonKeys.MAX_PORT));
    keys.add(
        SettingKey.textList(
            "controllers", null, CommonKeys.ADDRESS_PATTERN, CommonKeys.ADDRESS_DESCRIPTION));
    keys.add(SettingKey.number("requests.maxBodyBytes", 4_000_000L, 1_000, 64_000_000));
    keys.add(SettingKey.number("requests.bodyTimeoutMs", 10_000L, 100, 600_000));
    keys.add(SettingKey.number("requests.defaultDeadlineMs", 60_000L, 100, 3_600_000));
    keys.add(SettingKey.number("requests.maxConcurrent", 800L, 1, 10_000));
    keys.add(SettingKey.number("stopGraceMs", 120_000L, 0, 3_600_000));
    keys.add(
        SettingKey.text(
            "routing.policy",
            "landingtrack",
            "landingtrack|round-robin|least-loaded|prefix-hash",
            "landingtrack, round-robin, least-loaded or prefix-hash"));
    keys.add(SettingKey.number("routing.seed", 0L, 0, Long.MAX_VALUE));
    return List.copyOf(keys);
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws SettingsException for the first error in the file
   */
  public static GatewaySettings read(Path path) {
    SettingsReader.Values values = SettingsReader.read(path, KEYS);
    return new GatewaySettings(
        values.text("vm"),
        values.text("dataCentre"),
        values.text("region"),
        values.text("log.format"),
        values.text("log.level"),
        values.text("callers.host"),
        values.integer("callers.port"),
        values.textList("controllers"),
        values.integer("requests.maxBodyBytes"),
        values.number("requests.bodyTimeoutMs"),
        values.number("requests.defaultDeadlineMs"),
        values.number("stopGraceMs"),
        values.integer("requests.maxConcurrent"),
        values.text("routing.policy"),
        values.number("routing.seed"),
        CommonKeys.tls(path, values));
  }
}
