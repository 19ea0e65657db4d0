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
package org.landingtrack.internal.kept;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Ticker;
import org.landingtrack.internal.catalog.BackendServer;
import org.landingtrack.internal.catalog.Catalog;
import org.landingtrack.internal.catalog.Catalog.NamedBackendServer;
import org.landingtrack.internal.catalog.Kind;
import org.landingtrack.internal.catalog.Model;
import org.landingtrack.internal.catalog.Service;
import org.landingtrack.internal.catalog.WeightVersion;
import org.landingtrack.internal.directory.PrefixDirectory;
import org.landingtrack.internal.kept.ExportPolicy.ReuseRate;
import org.landingtrack.internal.kept.KvExportClient.ExportResult;
import org.landingtrack.internal.kept.KvExportClient.Manifest;
import org.landingtrack.internal.kept.KvExportClient.StoreUsage;
import org.landingtrack.internal.kept.KvExportClient.StoredManifest;
import org.landingtrack.internal.peer.Messages.Fact;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.prefix.PrefixChain;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exports KV cache blocks of the groups that this controller owns from engines to store VMs, and
 * evicts the least recently read manifests from store VMs that are nearly full.
 *
 * <p>No lease is needed: blocks are immutable and named by their content, so exporting the same
 * blocks twice is harmless, and a manifest is published after its blocks are complete and withdrawn
 * before they are freed. Thread-safe; exports run on one background thread.
 */
public final class KvExporter implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("kept");
  private static final int MAX_GROUPS = 200_000;
  private static final int EXPORT_QUEUE_SIZE = 1_024;
  private static final int MAX_HOLDERS = 8;
  private static final long EXPORT_TIMEOUT_MS = 20_000;
  private static final long MIN_ATTEMPT_INTERVAL_MS = 5_000;
  private static final double EVICTION_START_USAGE = 0.9;
  private static final double EVICTION_TARGET_USAGE = 0.8;
  private static final int DEFAULT_KV_BYTES_PER_TOKEN = 1_000;

  private final Supplier<Catalog> catalog;
  private final PrefixDirectory directory;
  private final KvExportClient client;
  private final Ticker ticker;
  private final Cache<String, PrefixHistory> histories =
      Caffeine.newBuilder().maximumSize(MAX_GROUPS).build();
  private final Cache<String, Long> lastAttemptMs =
      Caffeine.newBuilder().maximumSize(MAX_GROUPS).build();
  private final Map<String, ReuseRate> reuseRates = new ConcurrentHashMap<>();
  private final Map<String, LinkBudget> linkBudgets = new ConcurrentHashMap<>();
  private final BoundedWorker exporter = BoundedWorker.start("kept-export", EXPORT_QUEUE_SIZE);

  public KvExporter(
      Supplier<Catalog> catalog, PrefixDirectory directory, KvExportClient client, Ticker ticker) {
    this.catalog = catalog;
    this.directory = directory;
    this.client = client;
    this.ticker = ticker;
  }

  /**
   * Records a request for a prompt of a group.
   *
   * @param group key of the prompt's first block
   * @param chain keys of all blocks of the prompt, in order
   */
  public void onRequest(String service, String group, List<String> chain) {
    long now = ticker.millis();
    histories
        .asMap()
        .compute(
            group,
            (key, history) -> {
              if (history == null) {
                updateReuseRate(service, true);
                return PrefixHistory.ofFirstRequest(service, chain, now);
              }
              if (history.requests() == 1) {
                updateReuseRate(service, false);
              }
              return history.afterRequest(chain, now);
            });
  }

  private void updateReuseRate(String service, boolean first) {
    reuseRates.merge(
        service,
        new ReuseRate(first ? 1 : 0, first ? 0 : 1),
        (a, b) -> new ReuseRate(a.groups() + b.groups(), a.reusedGroups() + b.reusedGroups()));
  }

  /**
   * Schedules an export decision for each group for which an engine reports new blocks. Drops the
   * group if the queue is full.
   */
  public void onFacts(List<Fact> facts) {
    String previousGroup = "";
    for (Fact fact : facts) {
      boolean fromEngine = fact.kept().isEmpty() && fact.held();
      if (fromEngine && !fact.group().equals(previousGroup)) {
        previousGroup = fact.group();
        String group = previousGroup;
        if (!exporter.offer(() -> exportIfWorthwhile(group))) {
          log.debug(
              "Export queue is full; skipping group {} until new facts about it arrive.", group);
        }
      }
    }
  }

  private void exportIfWorthwhile(String group) {
    PrefixHistory history = histories.getIfPresent(group);
    long now = ticker.millis();
    Long lastAttempt = lastAttemptMs.getIfPresent(group);
    if (history == null || (lastAttempt != null && now - lastAttempt < MIN_ATTEMPT_INTERVAL_MS)) {
      return;
    }
    Catalog current = catalog.get();
    Service service = current.find(Kind.SERVICE, history.service(), Service.class).orElse(null);
    if (service == null || service.store() == null) {
      return;
    }
    List<Holder> holders = directory.holders(group, history.lastChain(), MAX_HOLDERS);
    ReuseRate rate = reuseRates.getOrDefault(history.service(), new ReuseRate(0, 0));
    int bytesPerToken = kvBytesPerToken(current, service);
    ExportPolicy.Decision decision =
        ExportPolicy.decide(history, rate, service, storedDepth(holders), bytesPerToken);
    if (decision.blocks() == 0) {
      return;
    }
    Optional<Holder> source =
        holders.stream()
            .filter(h -> h.kept().isEmpty() && h.depth() >= decision.blocks())
            .findFirst();
    if (source.isEmpty()) {
      return;
    }
    lastAttemptMs.put(group, now);
    export(current, service, history, group, source.get(), decision.blocks(), bytesPerToken);
  }

  private static int storedDepth(List<Holder> holders) {
    int depth = 0;
    for (Holder holder : holders) {
      if (!holder.kept().isEmpty()) {
        depth = Math.max(depth, holder.depth());
      }
    }
    return depth;
  }

  private static int kvBytesPerToken(Catalog current, Service service) {
    String version = service.weightVersion();
    if (version == null) {
      return DEFAULT_KV_BYTES_PER_TOKEN;
    }
    return current
        .find(Kind.WEIGHT_VERSION, version, WeightVersion.class)
        .flatMap(v -> current.find(Kind.MODEL, v.model(), Model.class))
        .map(Model::kvBytesPerToken)
        .orElse(DEFAULT_KV_BYTES_PER_TOKEN);
  }

  private void export(
      Catalog current,
      Service service,
      PrefixHistory history,
      String group,
      Holder source,
      int blocks,
      int bytesPerToken) {
    Optional<NamedBackendServer> store = selectStore(current, service, group);
    Optional<BackendServer> engine =
        current.find(Kind.BACKEND_SERVER, source.server(), BackendServer.class);
    if (store.isEmpty() || engine.isEmpty()) {
      return;
    }
    long bytes = (long) blocks * bytesPerToken * PrefixChain.BLOCK_TOKENS;
    LinkBudget budget = linkBudgets.computeIfAbsent(history.service(), s -> new LinkBudget(ticker));
    if (!budget.tryAcquire(bytes, service.linkBytesPerSecond() / 2.0)) {
      log.debug("Not exporting group {}: the link's budget is used up.", group);
      return;
    }
    String address = store.get().spec().address();
    evictIfFull(address);
    List<String> keys = history.lastChain().subList(0, blocks);
    Optional<ExportResult> result =
        client.export(engine.get().address(), address, keys, EXPORT_TIMEOUT_MS);
    if (result.isEmpty() || result.get().blocks().size() < blocks) {
      log.info(
          "Export from {} to store VM {} failed or is incomplete.",
          source.server(),
          store.get().name());
      return;
    }
    Manifest manifest = new Manifest(UUID.randomUUID().toString(), group, result.get().blocks());
    if (client.publish(address, manifest)) {
      log.debug(
          "Exported {} blocks of group {} to store VM {}.", blocks, group, store.get().name());
    }
  }

  /**
   * Returns the store VM for a group, by rendezvous hashing. All exports of a group go to the same
   * store VM, so that they share blocks there.
   */
  private static Optional<NamedBackendServer> selectStore(
      Catalog current, Service service, String group) {
    String name = service.store();
    if (name == null) {
      return Optional.empty();
    }
    return Hashes.rendezvous(group, current.servers(name), NamedBackendServer::name).stream()
        .filter(server -> !server.spec().draining())
        .findFirst();
  }

  private void evictIfFull(String store) {
    Optional<StoreUsage> usage = client.usage(store);
    if (usage.isEmpty()
        || usage.get().usedBytes() < EVICTION_START_USAGE * usage.get().capacityBytes()) {
      return;
    }
    long bytesToFree =
        (long) (usage.get().usedBytes() - EVICTION_TARGET_USAGE * usage.get().capacityBytes());
    for (StoredManifest manifest : client.listManifests(store)) {
      if (bytesToFree <= 0) {
        break;
      }
      if (client.withdraw(store, manifest.id())) {
        bytesToFree -= manifest.bytes();
      }
    }
  }

  /**
   * Returns the estimated number of groups with a request history, which determines the memory that
   * this object uses.
   */
  public long groups() {
    return histories.estimatedSize();
  }

  @Override
  public void close() {
    exporter.close();
  }
}
