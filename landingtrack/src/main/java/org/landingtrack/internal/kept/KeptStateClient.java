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

/** Calls that move kept state. Implementations are thread-safe. */
public interface KeptStateClient {
  /** A block that an engine wrote to a store VM. */
  record WrittenBlock(String key, String checksum) {}

  /** What an engine wrote. */
  record Exported(List<WrittenBlock> blocks, long bytes) {}

  /**
   * What makes some blocks readable. Published only after each of them is whole in the store VM.
   *
   * @param id names the manifest; new for every export
   */
  record Manifest(String id, String group, List<WrittenBlock> blocks) {}

  /** One manifest that a store VM holds. */
  record KeptManifest(String id, String group, long bytes, long lastReadMs) {}

  /** Fill of a store VM. */
  record Fill(long usedBytes, long capacityBytes) {}

  /** Makes an engine write blocks to a store VM. */
  Optional<Exported> export(String engine, String store, List<String> keys, long timeoutMs);

  /** Publishes a manifest; true if the store VM confirmed it. */
  boolean publish(String store, Manifest manifest);

  /** Withdraws a manifest and only then frees its blocks. */
  boolean withdraw(String store, String manifestId);

  /** Lists the manifests, the least recently read first. */
  List<KeptManifest> manifests(String store);

  /** Asks how full a store VM is; empty if it does not answer. */
  Optional<Fill> fill(String store);
}
