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

/**
 * Settings of an entry process: the one process of an entry VM where the platform's store holds the
 * configuration and the list of backend servers.
 *
 * @param strength hundredths of a core that this VM has
 * @param callersAddress where callers connect
 * @param readinessAddress where the balancer asks whether this VM wants connections
 * @param peersAddress where this VM hears from others, by UDP
 * @param peersSeeds addresses of some VMs, whose ports may be others
 * @param storeAddress the platform's store
 * @param storeReadsPerSecond reading calls that the store takes from all VMs together
 * @param storeWritesPerSecond writing calls likewise
 * @param storeSettledMs how long after its last trouble the store counts as sound
 * @param configMs within which an accepted configuration must be in force
 * @param stopGraceMs from the signal to stop until the process is killed
 * @param leavingMs how long a leaving backend server may get requests
 * @param retryShare retries of a service for each of its requests
 * @param retryExtra retries in a window that all VMs together have beyond that
 * @param leaseMs how long the orders of two holders to one engine must be apart
 * @param weightsMs within which no request may begin on older weights than named
 * @param fencesChecked true if engines refuse orders with an old fencing token
 */
public record EntrySettings(
    String vm,
    String dataCentre,
    int strength,
    String logLevel,
    String callersAddress,
    String readinessAddress,
    String peersAddress,
    List<String> peersSeeds,
    String storeAddress,
    double storeReadsPerSecond,
    double storeWritesPerSecond,
    long storeSettledMs,
    long configMs,
    long stopGraceMs,
    long leavingMs,
    double retryShare,
    long retryExtra,
    long leaseMs,
    long weightsMs,
    boolean fencesChecked) {

  private static final int HUNDREDTHS = 100;
  private static final long MAX_CORES = 1_024;
  private static final long MAX_RATE = 1_000_000;
  private static final long MAX_MS = 3_600_000;
  private static final List<SettingKey> KEYS = keys();

  private static List<SettingKey> keys() {
    List<SettingKey> keys = new ArrayList<>(CommonKeys.KEYS);
    keys.removeIf(key -> key.path().equals(CommonKeys.PROCESS));
    keys.add(SettingKey.text(CommonKeys.PROCESS, null, "entry", "entry"));
    for (String address :
        List.of("callers.address", "readiness.address", "peers.address", "store.address")) {
      keys.add(SettingKey.text(address, null, CommonKeys.ADDRESS, CommonKeys.ADDRESS_RULE));
    }
    keys.add(
        SettingKey.texts("peers.seeds", List.of(), CommonKeys.ADDRESS, CommonKeys.ADDRESS_RULE));
    keys.add(SettingKey.number("store.readsPerSecond", null, 1, MAX_RATE));
    keys.add(SettingKey.number("store.writesPerSecond", null, 1, MAX_RATE));
    keys.add(SettingKey.number("store.settledMs", null, 0, MAX_MS));
    keys.add(SettingKey.number("config.withinMs", null, 100, MAX_MS));
    keys.add(SettingKey.share("cpu.share"));
    keys.add(SettingKey.number("cpu.cores", null, 1, MAX_CORES));
    keys.add(SettingKey.number("stopGraceS", null, 1, MAX_MS / 1_000));
    keys.add(SettingKey.number("servers.leavingMs", null, 0, MAX_MS));
    keys.add(SettingKey.share("retries.share"));
    keys.add(SettingKey.number("retries.extra", null, 0, MAX_RATE));
    keys.add(SettingKey.number("orders.leaseMs", null, 100, MAX_MS));
    keys.add(SettingKey.flag("orders.fencesChecked"));
    keys.add(SettingKey.number("weights.withinMs", null, 100, MAX_MS));
    return List.copyOf(keys);
  }

  /** Returns these settings with another log level. */
  public EntrySettings withLogLevel(String level) {
    return new EntrySettings(
        vm,
        dataCentre,
        strength,
        level,
        callersAddress,
        readinessAddress,
        peersAddress,
        peersSeeds,
        storeAddress,
        storeReadsPerSecond,
        storeWritesPerSecond,
        storeSettledMs,
        configMs,
        stopGraceMs,
        leavingMs,
        retryShare,
        retryExtra,
        leaseMs,
        weightsMs,
        fencesChecked);
  }

  /** Reads a file; throws {@link SettingsException} on the first fault. */
  public static EntrySettings read(Path path) {
    SettingsReader.Values v = SettingsReader.read(path, KEYS);
    return new EntrySettings(
        v.text("vm"),
        v.text("dataCentre"),
        (int) Math.round(HUNDREDTHS * v.share("cpu.share") * v.number("cpu.cores")),
        v.text("log.level"),
        v.text("callers.address"),
        v.text("readiness.address"),
        v.text("peers.address"),
        v.texts("peers.seeds"),
        v.text("store.address"),
        v.number("store.readsPerSecond"),
        v.number("store.writesPerSecond"),
        v.number("store.settledMs"),
        v.number("config.withinMs"),
        1_000 * v.number("stopGraceS"),
        v.number("servers.leavingMs"),
        v.share("retries.share"),
        v.number("retries.extra"),
        v.number("orders.leaseMs"),
        v.number("weights.withinMs"),
        v.flag("orders.fencesChecked"));
  }
}
