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
 * Checked settings of a controller.
 *
 * @param objectApi base URL of the platform's Object API
 * @param vmList URL of the platform's VM list; empty if there is none
 * @param seeds peer addresses that are tried when the VM list does not answer
 * @param operators entries {@code name:role:sha256-of-key}
 * @param tls key and certificates towards other processes and operators; null without TLS
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

  private static final String URL = "http://.+|https://.+|";
  private static final List<SettingKey> KEYS = keys();

  private static List<SettingKey> keys() {
    List<SettingKey> keys = new ArrayList<>(CommonKeys.KEYS);
    keys.add(SettingKey.text("host", "127.0.0.1", CommonKeys.HOST, CommonKeys.HOST_RULE));
    keys.add(SettingKey.number("ports.peer", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.number("ports.operators", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.number("ports.http", null, 0, CommonKeys.MAX_PORT));
    keys.add(SettingKey.text("platform.objectApi", null, URL, "an http or https URL"));
    keys.add(SettingKey.text("platform.vmList", "", URL, "an http or https URL"));
    keys.add(SettingKey.texts("seeds", List.of(), CommonKeys.ADDRESS, CommonKeys.ADDRESS_RULE));
    keys.add(
        SettingKey.texts(
            "operators",
            List.of(),
            "[a-z0-9-]+:(reader|writer):[0-9a-f]{64}",
            "name:reader|writer:SHA-256 of the key in hex"));
    keys.add(SettingKey.number("membership.probeMs", 1_000L, 50, 60_000));
    return List.copyOf(keys);
  }

  /** Reads a file; throws {@link SettingsException} on the first fault. */
  public static ControllerSettings read(Path path) {
    SettingsReader.Values v = SettingsReader.read(path, KEYS);
    return new ControllerSettings(
        v.text("vm"),
        v.text("dataCentre"),
        v.text("region"),
        v.text("log.format"),
        v.text("log.level"),
        v.text("host"),
        v.integer("ports.peer"),
        v.integer("ports.operators"),
        v.integer("ports.http"),
        v.text("platform.objectApi"),
        v.text("platform.vmList"),
        v.texts("seeds"),
        v.texts("operators"),
        v.number("membership.probeMs"),
        CommonKeys.tls(path, v));
  }
}
