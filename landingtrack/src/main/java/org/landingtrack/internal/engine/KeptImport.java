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
 * Kept state that an engine is to import.
 *
 * @param store address of the store VM
 * @param manifest name of the manifest at the store VM
 * @param keys keys of the wanted blocks, from the prompt's first on
 * @param pinMs how long the engine keeps them for their request, however full it is
 * @param timeoutMs how long the import may take
 */
public record KeptImport(
    String store, String manifest, List<String> keys, long pinMs, long timeoutMs) {}
