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
package org.landingtrack.internal.directory;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.landingtrack.internal.peer.Messages.Fact;
import org.landingtrack.internal.peer.Messages.Holder;
import org.testng.annotations.Test;

public final class PrefixDirectoryTest {
  private static Fact held(String key, String server) {
    return new Fact("g", key, server, "", true);
  }

  @Test
  public void holderDepthEndsAtTheFirstMissingBlock() {
    PrefixDirectory directory = new PrefixDirectory(100);
    directory.apply(
        List.of(
            held("k1", "a"), held("k2", "a"), held("k3", "a"), held("k1", "b"), held("k3", "b")));
    assertEquals(
        directory.holders("g", List.of("k1", "k2", "k3"), 8),
        List.of(new Holder("a", 3, ""), new Holder("b", 1, "")));
  }

  @Test
  public void lateAndRepeatedFactsAreIgnored() {
    PrefixDirectory directory = new PrefixDirectory(100);
    directory.apply(List.of(new Fact("g", "k1", "a", "", false), held("k1", "a"), held("k1", "a")));
    assertEquals(directory.holders("g", List.of("k1"), 8), List.of(new Holder("a", 1, "")));
    directory.dropServer("a");
    assertEquals(directory.holders("g", List.of("k1"), 8), List.of());
  }
}
