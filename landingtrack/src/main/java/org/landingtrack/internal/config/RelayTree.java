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
package org.landingtrack.internal.config;

import java.util.List;
import java.util.Optional;
import org.landingtrack.internal.base.Hashes;

/**
 * Computes the tree along which configuration is relayed within a data centre. The first {@link
 * #WATCHERS} members in the order of rendezvous hashing watch the platform; each later member pulls
 * from a parent that precedes it in this order.
 *
 * <p>No lease is needed: if too many members consider themselves first, they all watch the
 * platform. Views of the membership may differ for a while, and a parent may then be stale; the
 * periodic comparison with a random member corrects that.
 */
public final class RelayTree {
  /** Number of members in a data centre that watch the platform. */
  public static final int WATCHERS = 2;

  /** Maximum number of members that pull from the same parent. */
  public static final int FAN_OUT = 4;

  private RelayTree() {}

  /** Returns the parent of a member; empty if the member watches the platform. */
  public static Optional<String> parent(String self, String dataCentre, List<String> members) {
    List<String> order = Hashes.rendezvous("config-relay/" + dataCentre, members, name -> name);
    int position = order.indexOf(self);
    if (position < WATCHERS) {
      return Optional.empty();
    }
    return Optional.of(order.get((position - WATCHERS) / FAN_OUT));
  }
}
