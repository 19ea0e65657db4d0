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
package org.landingtrack.internal.dispatch;

import java.util.List;
import org.landingtrack.internal.peer.Messages.Holder;
import org.landingtrack.internal.prefix.PrefixChain;

/** Finds who holds the blocks of a prompt. The answer is a hint; none is a valid answer. */
@FunctionalInterface
public interface HolderLookup {
  /** Returns the holders, deepest first. */
  List<Holder> holders(String service, PrefixChain chain);
}
