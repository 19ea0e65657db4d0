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
package org.landingtrack.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.serving.ServiceInfo.EngineInfo;

/**
 * This VM's view of one part store, which stores the KV cache entries of prompt parts. The store
 * evicts nothing by itself, so a part that is complete stays complete until the store restarts,
 * empty.
 *
 * <p>The view is valid only for a short time after the store confirmed it. That time is shorter
 * than a restart of the store, so what a VM knows of the previous incarnation has expired before
 * the new one can be written to. After a restart nothing is saved there for that time and a margin,
 * since other VMs may have received answers of the previous incarnation until its end.
 *
 * <p>Not thread-safe; used on the event loop. All times are in milliseconds on its clock.
 */
public final class PartStore {
  /** Time for which an answer of the store is valid; each fetch ends within it. */
  static final long VALIDITY_MS = 900;

  /** Minimum remaining validity that a fetch needs. */
  static final long MIN_FETCH_MS = 300;

  /**
   * Margin beyond the validity of other VMs' views: allows for their clocks and for the delay of
   * the store's answers.
   */
  private static final long SAVE_MARGIN_MS = 500;

  /** Time after which saving a part may be ordered again. */
  private static final long SAVE_RETRY_MS = 3_000;

  static final double MEGABIT_BYTES = 125_000;
  static final double MS_PER_SECOND = 1_000;

  /**
   * Share of the capacity that is filled; parts of interrupted saves take space that the store does
   * not report.
   */
  private static final double MAX_FILL_SHARE = 0.97;

  private final StoreInfo info;
  private final long addressHash;
  private final Map<String, Integer> completeParts = new HashMap<>();
  private final Map<String, Long> saveOrderedAtMs = new HashMap<>();
  private long usedTokens;
  private final LinkBacklog fetchBacklog = new LinkBacklog();
  private final LinkBacklog saveBacklog = new LinkBacklog();
  private long epoch = -1;
  private long confirmedAtMs = Long.MIN_VALUE / 2;
  private long savesAllowedFromMs = Long.MIN_VALUE / 2;

  /**
   * The configuration of a store.
   *
   * @param capacityTokens capacity of the store in tokens
   * @param linkMbps speed of its link in Mbit/s
   * @param firstMs fixed latency of a fetch in milliseconds
   */
  public record StoreInfo(
      String name,
      String address,
      String dataCentre,
      long capacityTokens,
      double linkMbps,
      double firstMs) {}

  PartStore(StoreInfo info) {
    this.info = info;
    this.addressHash = Hashes.placement(info.address());
  }

  StoreInfo info() {
    return info;
  }

  long addressHash() {
    return addressHash;
  }

  /**
   * Replaces the known parts by a full list.
   *
   * @param parts the tokens of each part, by its key
   * @param atMs when the store had them
   */
  void replaceAll(long storeEpoch, Map<String, Integer> parts, long atMs, long nowMs) {
    resetIfRestarted(storeEpoch, nowMs);
    completeParts.clear();
    completeParts.putAll(parts);
    usedTokens = 0;
    for (int tokens : parts.values()) {
      usedTokens += tokens;
    }
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  }

  /**
   * Records an answer of the store; the changes in it follow by {@link #addPart} and {@link
   * #removePart}.
   *
   * @param storeEpoch the incarnation of the store that answered
   * @param atMs when it answered
   */
  void recordAnswer(long storeEpoch, long atMs, long nowMs) {
    resetIfRestarted(storeEpoch, nowMs);
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  }

  /** Corrects the time of the last answer: it was earlier than assumed by {@code ms}. */
  void backdateAnswer(long ms) {
    confirmedAtMs -= ms;
  }

  void addPart(String key, int tokens) {
    Integer previous = completeParts.put(key, tokens);
    usedTokens += tokens - (previous == null ? 0 : previous);
    saveOrderedAtMs.remove(key);
  }

  void removePart(String key) {
    Integer previous = completeParts.remove(key);
    usedTokens -= previous == null ? 0 : previous;
  }

  /**
   * Discards the view if the incarnation changed. The first answer may come from a restarted store
   * as well, so saves are delayed then, too.
   */
  private void resetIfRestarted(long storeEpoch, long nowMs) {
    if (epoch == storeEpoch) {
      return;
    }
    completeParts.clear();
    saveOrderedAtMs.clear();
    usedTokens = 0;
    epoch = storeEpoch;
    confirmedAtMs = Long.MIN_VALUE / 2;
    savesAllowedFromMs = nowMs + VALIDITY_MS + SAVE_MARGIN_MS;
  }

  /** Returns the time until which the view is valid; in the past if it has expired. */
  long validUntilMs() {
    return confirmedAtMs + VALIDITY_MS;
  }

  boolean canFetch(String key, long nowMs) {
    return completeParts.containsKey(key) && validUntilMs() - nowMs >= MIN_FETCH_MS;
  }

  /** Returns the backlog of the saves that this VM ordered over the store's link. */
  LinkBacklog saveBacklog() {
    return saveBacklog;
  }

  /** Returns the backlog of the fetches that this VM ordered over the store's link. */
  LinkBacklog fetchBacklog() {
    return fetchBacklog;
  }

  /** Returns the time for which a transfer between an engine and this store occupies both links. */
  double linkMs(int tokens, EngineInfo engine, String engineDataCentre) {
    return linkMs(tokens, engine, info.dataCentre().equals(engineDataCentre));
  }

  /**
   * Returns the time for which a transfer between an engine and this store occupies both links.
   *
   * @param near true if the engine is in the store's data centre
   */
  double linkMs(int tokens, EngineInfo engine, boolean near) {
    double mbps = Math.min(engine.linkMbps(), info.linkMbps());
    double bytesPerMs = mbps * MEGABIT_BYTES / MS_PER_SECOND;
    double factor = near ? 1 : PartFetchPlanner.OTHER_DATA_CENTRE_FACTOR;
    return tokens * factor * engine.kvBytesPerToken() / bytesPerMs;
  }

  boolean hasPart(String key) {
    return completeParts.containsKey(key);
  }

  /** Returns true if a part may be saved here now. */
  boolean canSave(String key, int tokens, long nowMs) {
    return nowMs >= savesAllowedFromMs
        && validUntilMs() - nowMs >= MIN_FETCH_MS
        && !completeParts.containsKey(key)
        && !isSaving(key, nowMs)
        && usedTokens + tokens <= info.capacityTokens() * MAX_FILL_SHARE;
  }

  /** Returns true if this VM ordered to save a part here recently. */
  boolean isSaving(String key, long nowMs) {
    Long orderedAtMs = saveOrderedAtMs.get(key);
    return orderedAtMs != null && nowMs - orderedAtMs < SAVE_RETRY_MS;
  }

  void recordSave(String key, long nowMs) {
    saveOrderedAtMs.put(key, nowMs);
  }
}
