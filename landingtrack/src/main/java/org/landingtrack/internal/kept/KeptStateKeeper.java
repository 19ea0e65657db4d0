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
import org.landingtrack.internal.base.Duty;
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
import org.landingtrack.internal.kept.ExportPolicy.ReturnRate;
import org.landingtrack.internal.kept.KeptStateClient.Exported;
import org.landingtrack.internal.kept.KeptStateClient.Fill;
import org.landingtrack.internal.kept.KeptStateClient.KeptManifest;
import org.landingtrack.internal.kept.KeptStateClient.Manifest;
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
public final class KeptStateKeeper implements AutoCloseable {
  private static final Logger log = LoggerFactory.getLogger("kept");
  private static final int MAX_GROUPS = 200_000;
  private static final int RING = 1_024;
  private static final int HOLDERS = 8;
  private static final long EXPORT_MS = 20_000;
  private static final long RETRY_AFTER_MS = 5_000;
  private static final double FULL = 0.9;
  private static final double ROOM = 0.8;
  private static final int DEFAULT_KV_BYTES = 1_000;

  private final Supplier<Catalog> catalog;
  private final PrefixDirectory directory;
  private final KeptStateClient client;
  private final Ticker ticker;
  private final Cache<String, PrefixHistory> histories =
      Caffeine.newBuilder().maximumSize(MAX_GROUPS).build();
  private final Cache<String, Long> triedMs = Caffeine.newBuilder().maximumSize(MAX_GROUPS).build();
  private final Map<String, ReturnRate> rates = new ConcurrentHashMap<>();
  private final Map<String, LinkBudget> links = new ConcurrentHashMap<>();
  private final Duty exporter = Duty.start("kept-export", RING);

  public KeptStateKeeper(
      Supplier<Catalog> catalog, PrefixDirectory directory, KeptStateClient client, Ticker ticker) {
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
  public void visited(String service, String group, List<String> chain) {
    long now = ticker.millis();
    histories
        .asMap()
        .compute(
            group,
            (key, history) -> {
              if (history == null) {
                count(service, true);
                return PrefixHistory.first(service, chain, now);
              }
              if (history.visits() == 1) {
                count(service, false);
              }
              return history.visited(chain, now);
            });
  }

  private void count(String service, boolean first) {
    rates.merge(
        service,
        new ReturnRate(first ? 1 : 0, first ? 0 : 1),
        (a, b) -> new ReturnRate(a.firsts() + b.firsts(), a.returns() + b.returns()));
  }

  /**
   * Schedules an export decision for each group for which an engine reports new blocks. Drops the
   * group if the queue is full.
   */
  public void learned(List<Fact> facts) {
    String previousGroup = "";
    for (Fact fact : facts) {
      boolean fromEngine = fact.kept().isEmpty() && fact.held();
      if (fromEngine && !fact.group().equals(previousGroup)) {
        previousGroup = fact.group();
        String group = previousGroup;
        if (!exporter.offer(() -> consider(group))) {
          log.debug(
              "Export queue is full; skipping group {} until new facts about it arrive.", group);
        }
      }
    }
  }

  private void consider(String group) {
    PrefixHistory history = histories.getIfPresent(group);
    long now = ticker.millis();
    Long lastAttempt = triedMs.getIfPresent(group);
    if (history == null || (lastAttempt != null && now - lastAttempt < RETRY_AFTER_MS)) {
      return;
    }
    Catalog current = catalog.get();
    Service service = current.find(Kind.SERVICE, history.service(), Service.class).orElse(null);
    if (service == null || service.store() == null) {
      return;
    }
    List<Holder> holders = directory.holders(group, history.lastChain(), HOLDERS);
    ReturnRate rate = rates.getOrDefault(history.service(), new ReturnRate(0, 0));
    int bytesPerToken = kvBytesPerToken(current, service);
    ExportPolicy.Verdict decision =
        ExportPolicy.decide(history, rate, service, keptDepth(holders), bytesPerToken);
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
    triedMs.put(group, now);
    export(current, service, history, group, source.get(), decision.blocks(), bytesPerToken);
  }

  private static int keptDepth(List<Holder> holders) {
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
      return DEFAULT_KV_BYTES;
    }
    return current
        .find(Kind.WEIGHT_VERSION, version, WeightVersion.class)
        .flatMap(v -> current.find(Kind.MODEL, v.model(), Model.class))
        .map(Model::kvBytesPerToken)
        .orElse(DEFAULT_KV_BYTES);
  }

  private void export(
      Catalog current,
      Service service,
      PrefixHistory history,
      String group,
      Holder source,
      int blocks,
      int bytesPerToken) {
    Optional<NamedBackendServer> store = storeFor(current, service, group);
    Optional<BackendServer> engine =
        current.find(Kind.BACKEND_SERVER, source.server(), BackendServer.class);
    if (store.isEmpty() || engine.isEmpty()) {
      return;
    }
    long bytes = (long) blocks * bytesPerToken * PrefixChain.BLOCK_TOKENS;
    LinkBudget budget = links.computeIfAbsent(history.service(), s -> new LinkBudget(ticker));
    if (!budget.tryTake(bytes, service.linkBytesPerSecond() / 2.0)) {
      log.debug("Not exporting group {}: the link's budget is used up.", group);
      return;
    }
    String address = store.get().spec().address();
    makeRoom(address);
    List<String> keys = history.lastChain().subList(0, blocks);
    Optional<Exported> result = client.export(engine.get().address(), address, keys, EXPORT_MS);
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
  private static Optional<NamedBackendServer> storeFor(
      Catalog current, Service service, String group) {
    String name = service.store();
    if (name == null) {
      return Optional.empty();
    }
    return Hashes.rendezvous(group, current.servers(name), NamedBackendServer::name).stream()
        .filter(server -> !server.spec().draining())
        .findFirst();
  }

  private void makeRoom(String store) {
    Optional<Fill> usage = client.fill(store);
    if (usage.isEmpty() || usage.get().usedBytes() < FULL * usage.get().capacityBytes()) {
      return;
    }
    long bytesToFree = (long) (usage.get().usedBytes() - ROOM * usage.get().capacityBytes());
    for (KeptManifest manifest : client.manifests(store)) {
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
