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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the depth and the fan-out of the relay tree. */
public final class RelayTreeTest {
  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{1, 0}, {2, 0}, {3, 1}, {9, 1}, {62, 3}, {206, 4}};
  }

  @Test(dataProvider = "sizes")
  public void everyMemberReachesAWatcherInFewSteps(int size, int maxSteps) {
    List<String> members = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      members.add("vm-" + i);
    }
    Map<String, Integer> children = new HashMap<>();
    int watchers = 0;
    for (String member : members) {
      int steps = 0;
      Optional<String> parent = RelayTree.parent(member, "dc", members);
      watchers += parent.isEmpty() ? 1 : 0;
      parent.ifPresent(p -> children.merge(p, 1, Integer::sum));
      while (parent.isPresent()) {
        steps++;
        parent = RelayTree.parent(parent.get(), "dc", members);
      }
      assertTrue(steps <= maxSteps, member + " is " + steps + " steps away");
    }
    assertEquals(watchers, Math.min(size, RelayTree.WATCHERS));
    children.forEach((p, count) -> assertTrue(count <= RelayTree.FAN_OUT));
  }
}
