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
package org.landingtrack.internal.streams;

import java.util.function.Consumer;

/**
 * Reads the current servers and configuration on demand. Without it, a VM cannot tell whether a
 * version that it has not listed does not exist or is too new for its last read.
 */
@FunctionalInterface
public interface ListConfirmation {
  /**
   * Reads what the store holds now, and applies it to the {@link ServiceVersions}. Called on the
   * event loop.
   *
   * @param listener receives, on the event loop, true if a read that began after this call was
   *     applied; false if the store could not be read
   */
  void confirm(Consumer<Boolean> listener);
}
