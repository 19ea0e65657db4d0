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

import java.util.List;
import java.util.Optional;

/**
 * Exports KV cache blocks from engines to store VMs and manages the manifests there.
 * Implementations are thread-safe.
 *
 * <p>Engines and store VMs are named by address, {@code host:port}.
 */
public interface KvExportClient {
  /**
   * A block that an engine wrote to a store VM.
   *
   * @param key key of the block, a hash of the prompt up to its end
   * @param checksum checksum of the written bytes
   */
  record WrittenBlock(String key, String checksum) {}

  /** The result of an export: the blocks that the engine wrote and their total size in bytes. */
  record ExportResult(List<WrittenBlock> blocks, long bytes) {}

  /**
   * A list of blocks that makes them readable. It is published only after the store VM holds each
   * of them completely.
   *
   * @param id identifies the manifest; new for every export
   * @param group key of the prompt's first block
   */
  record Manifest(String id, String group, List<WrittenBlock> blocks) {}

  /**
   * A manifest that a store VM holds.
   *
   * @param bytes size of its blocks
   * @param lastReadMs time of the last read as the store VM reports it, in milliseconds
   */
  record StoredManifest(String id, String group, long bytes, long lastReadMs) {}

  /** Used and total capacity of a store VM. */
  record StoreUsage(long usedBytes, long capacityBytes) {}

  /**
   * Makes an engine write blocks to a store VM.
   *
   * @return the blocks that were written; empty if the call fails or exceeds {@code timeoutMs}
   */
  Optional<ExportResult> export(String engine, String store, List<String> keys, long timeoutMs);

  /** Publishes a manifest. Returns true if the store VM confirmed it. */
  boolean publish(String store, Manifest manifest);

  /**
   * Withdraws a manifest; the store VM frees its blocks only after that. Returns true if the store
   * VM confirmed it.
   */
  boolean withdraw(String store, String manifestId);

  /**
   * Lists the manifests of a store VM, the least recently read first. Returns an empty list if the
   * call fails.
   */
  List<StoredManifest> listManifests(String store);

  /** Returns the usage of a store VM; empty if the call fails. */
  Optional<StoreUsage> usage(String store);
}
