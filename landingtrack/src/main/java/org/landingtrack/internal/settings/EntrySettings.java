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
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Validated settings of an entry process, the only process of an entry VM in deployments where the
 * platform's store holds the configuration and the list of backend servers. Times are in
 * milliseconds.
 *
 * @param cpuHundredths CPU capacity of this VM, in hundredths of a core
 * @param callersAddress address that callers connect to
 * @param readinessAddress address at which the load balancer asks whether this VM accepts
 *     connections
 * @param peersAddress UDP address at which this VM receives messages of other VMs
 * @param peersSeeds addresses of some VMs to start from; only the hosts are used, since all VMs
 *     receive at the port of {@code peersAddress} and a seed may name another port
 * @param storeAddress address of the platform's store
 * @param storeReadsPerSecond read calls that the store accepts from all VMs together
 * @param storeWritesPerSecond write calls that the store accepts from all VMs together
 * @param storeRecoveryMs time after its last failure from which the store counts as healthy again
 * @param maxConfigDelayMs time within which an accepted configuration must be in force
 * @param stopGraceMs time from the stop signal until the process is killed
 * @param maxLeavingMs time for which a leaving backend server may still get requests
 * @param retriesPerRequest retries that a service may have for each of its requests, from 0 to 1
 * @param extraRetries further retries in a window, for all VMs together
 * @param retryWindowMs length of that window
 * @param leaseMs minimum time between the orders of two lease holders to one engine
 * @param maxWeightsDelayMs time after which no request may start on weights older than the newest
 *     published ones
 * @param enginesCheckFencing true if engines reject orders with an old fencing token
 * @param maxEvacuationDelayMs time within which an evacuated data centre must stop getting
 *     requests; 0 if operators evacuate none
 * @param coldOvershoot multiple of its rate that a cold server can take within a single second
 * @param coldTolerance further requests that it can take in that second
 * @param regions region of each data centre
 * @param memoryMb memory of this VM; 0 if not stated
 * @param fileDescriptors file descriptors that the process may have; 0 if not stated
 * @param linkMbps rate of this VM's network link; 0 if not stated
 * @param firstStart true if the whole fleet starts for the first time, so that no caller has a
 *     stream to resume
 * @param mechanismsOff names of the mechanisms for high load that are switched off
 */
public record EntrySettings(
    String vm,
    String dataCentre,
    int cpuHundredths,
    String logLevel,
    String callersAddress,
    String readinessAddress,
    String peersAddress,
    List<String> peersSeeds,
    String storeAddress,
    double storeReadsPerSecond,
    double storeWritesPerSecond,
    long storeRecoveryMs,
    long maxConfigDelayMs,
    long stopGraceMs,
    long maxLeavingMs,
    double retriesPerRequest,
    double extraRetries,
    long retryWindowMs,
    long leaseMs,
    long maxWeightsDelayMs,
    boolean enginesCheckFencing,
    long maxEvacuationDelayMs,
    double coldOvershoot,
    double coldTolerance,
    Map<String, String> regions,
    int memoryMb,
    int fileDescriptors,
    double linkMbps,
    boolean firstStart,
    List<String> mechanismsOff) {

  private static final int HUNDREDTHS_PER_CORE = 100;
  private static final long MAX_CORES = 1_024;
  private static final long MAX_RATE = 1_000_000;
  private static final long MAX_MS = 3_600_000;
  private static final long MS_PER_SECOND = 1_000;
  private static final long MAX_OVERSHOOT = 100;
  private static final char REGION_SEPARATOR = '=';
  private static final String REGION_PATTERN =
      CommonKeys.NAME_PATTERN + REGION_SEPARATOR + CommonKeys.NAME_PATTERN;
  private static final String MECHANISM_PATTERN =
      "fleetAdmission|sharedHealth|fleetRetries|vmProtection";
  private static final String MECHANISM_DESCRIPTION =
      "one of " + MECHANISM_PATTERN.replace("|", ", ");
  private static final List<SettingKey> KEYS = keys();

  private static List<SettingKey> keys() {
    List<SettingKey> keys = new ArrayList<>(CommonKeys.KEYS);
    keys.removeIf(key -> key.path().equals(CommonKeys.PROCESS));
    keys.add(SettingKey.text(CommonKeys.PROCESS, null, "entry", "entry"));
    for (String address :
        List.of("callers.address", "readiness.address", "peers.address", "store.address")) {
      keys.add(
          SettingKey.text(
              address, null, CommonKeys.ADDRESS_PATTERN, CommonKeys.ADDRESS_DESCRIPTION));
    }
    keys.add(
        SettingKey.textList(
            "peers.seeds", List.of(), CommonKeys.ADDRESS_PATTERN, CommonKeys.ADDRESS_DESCRIPTION));
    keys.add(SettingKey.decimal("store.readsPerSecond", 1, MAX_RATE));
    keys.add(SettingKey.decimal("store.writesPerSecond", 1, MAX_RATE));
    keys.add(SettingKey.decimal("store.settledMs", 0, MAX_MS));
    keys.add(SettingKey.decimal("config.withinMs", 100, MAX_MS));
    keys.add(SettingKey.fraction("cpu.share"));
    keys.add(SettingKey.decimal("cpu.cores", 1, MAX_CORES));
    keys.add(SettingKey.decimal("stopGraceS", 1, MAX_MS / MS_PER_SECOND));
    keys.add(SettingKey.decimal("servers.leavingMs", 0, MAX_MS));
    keys.add(SettingKey.fraction("retries.share"));
    keys.add(SettingKey.decimal("retries.extra", 0, MAX_RATE));
    keys.add(SettingKey.optionalDecimal("retries.windowS", 10, 1, MAX_MS / MS_PER_SECOND));
    keys.add(SettingKey.decimal("orders.leaseMs", 100, MAX_MS));
    keys.add(SettingKey.flag("orders.fencesChecked"));
    keys.add(SettingKey.decimal("weights.withinMs", 100, MAX_MS));
    keys.add(SettingKey.optionalDecimal("evacuations.withinMs", 0, 0, MAX_MS));
    keys.add(SettingKey.optionalDecimal("coldServers.overshoot", 1, 1, MAX_OVERSHOOT));
    keys.add(SettingKey.optionalDecimal("coldServers.tolerance", 0, 0, MAX_RATE));
    keys.add(SettingKey.textList("regions", List.of(), REGION_PATTERN, "DATA-CENTRE=REGION"));
    keys.add(SettingKey.optionalDecimal("limits.memoryMb", 0, 0, MAX_RATE));
    keys.add(SettingKey.optionalDecimal("limits.fileDescriptors", 0, 0, MAX_RATE));
    keys.add(SettingKey.optionalDecimal("limits.linkMbps", 0, 0, MAX_RATE));
    keys.add(SettingKey.optionalFlag("firstStart"));
    keys.add(
        SettingKey.textList("mechanisms.off", List.of(), MECHANISM_PATTERN, MECHANISM_DESCRIPTION));
    return List.copyOf(keys);
  }

  /** Returns these settings with another log level. */
  public EntrySettings withLogLevel(String level) {
    return new EntrySettings(
        vm,
        dataCentre,
        cpuHundredths,
        level,
        callersAddress,
        readinessAddress,
        peersAddress,
        peersSeeds,
        storeAddress,
        storeReadsPerSecond,
        storeWritesPerSecond,
        storeRecoveryMs,
        maxConfigDelayMs,
        stopGraceMs,
        maxLeavingMs,
        retriesPerRequest,
        extraRetries,
        retryWindowMs,
        leaseMs,
        maxWeightsDelayMs,
        enginesCheckFencing,
        maxEvacuationDelayMs,
        coldOvershoot,
        coldTolerance,
        regions,
        memoryMb,
        fileDescriptors,
        linkMbps,
        firstStart,
        mechanismsOff);
  }

  /**
   * Reads and validates a settings file.
   *
   * @throws SettingsException for the first error in the file
   */
  public static EntrySettings read(Path path) {
    SettingsReader.Values values = SettingsReader.read(path, KEYS);
    return new EntrySettings(
        values.text("vm"),
        values.text("dataCentre"),
        (int)
            Math.round(
                HUNDREDTHS_PER_CORE * values.decimal("cpu.share") * values.decimal("cpu.cores")),
        values.text("log.level"),
        values.text("callers.address"),
        values.text("readiness.address"),
        values.text("peers.address"),
        values.textList("peers.seeds"),
        values.text("store.address"),
        values.decimal("store.readsPerSecond"),
        values.decimal("store.writesPerSecond"),
        values.millis("store.settledMs"),
        values.millis("config.withinMs"),
        (long) (MS_PER_SECOND * values.decimal("stopGraceS")),
        values.millis("servers.leavingMs"),
        values.decimal("retries.share"),
        values.decimal("retries.extra"),
        (long) (MS_PER_SECOND * values.decimal("retries.windowS")),
        values.millis("orders.leaseMs"),
        values.millis("weights.withinMs"),
        values.flag("orders.fencesChecked"),
        values.millis("evacuations.withinMs"),
        values.decimal("coldServers.overshoot"),
        values.decimal("coldServers.tolerance"),
        regions(values.textList("regions")),
        (int) values.decimal("limits.memoryMb"),
        (int) values.decimal("limits.fileDescriptors"),
        values.decimal("limits.linkMbps"),
        values.flag("firstStart"),
        List.copyOf(values.textList("mechanisms.off")));
  }

  private static Map<String, String> regions(List<String> texts) {
    Map<String, String> regions = new HashMap<>();
    for (String text : texts) {
      int separator = text.indexOf(REGION_SEPARATOR);
      regions.put(text.substring(0, separator), text.substring(separator + 1));
    }
    return Map.copyOf(regions);
  }
}
