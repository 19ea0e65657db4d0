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
package org.landingtrack.internal.engine;

import java.util.List;

/**
 * Stored KV cache blocks that an engine is to import from a store VM.
 *
 * @param storeAddress address of the store VM
 * @param manifest name of the list of blocks at the store VM
 * @param blockKeys keys of the blocks to import, in the order of the prompt and from its first
 *     block
 * @param pinMs how long the engine must not evict the blocks, so that they are there for their
 *     request however full the cache is
 * @param timeoutMs limit on the time of the import
 */
public record KvCacheImport(
    String storeAddress, String manifest, List<String> blockKeys, long pinMs, long timeoutMs) {}
