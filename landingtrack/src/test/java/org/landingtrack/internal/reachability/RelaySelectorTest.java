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
package org.landingtrack.internal.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.loads.GossipMessage.Vm;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which VM relays connections. */
public final class RelaySelectorTest {
  private final FakeTicker ticker = new FakeTicker();
  private final List<Vm> vms = new ArrayList<>();

  @BeforeMethod
  public void removeVms() {
    vms.clear();
  }

  private RelaySelector newSelector(long seed) {
    return new RelaySelector(
        ticker, () -> vms, vm -> vm.dataCentre().equals("near") ? 0 : 1, new Random(seed));
  }

  private void addVms(String dataCentre, int count) {
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(dataCentre + "-" + i + ":70", dataCentre, 0));
    }
  }

  @Test
  public void nearVmsAreAskedFirst() {
    addVms("far", 3);
    addVms("near", 2);
    RelaySelector selector = newSelector(1);
    Set<String> asked = new HashSet<>();
    List<String> order = new ArrayList<>();
    for (String vm = selector.next(asked); vm != null; vm = selector.next(asked)) {
      asked.add(vm);
      order.add(vm.substring(0, vm.indexOf('-')));
    }
    assertEquals(order, List.of("near", "near", "far", "far", "far"));
  }

  @Test
  public void vmThatAcceptedIsAskedAgainUntilItDeclines() {
    addVms("near", 20);
    RelaySelector selector = newSelector(2);
    selector.onAccepted("near-7:70");
    for (int i = 0; i < 10; i++) {
      assertEquals(selector.next(Set.of()), "near-7:70");
    }
    selector.onDeclined("near-7:70");
    for (int i = 0; i < 50; i++) {
      assertTrue(!"near-7:70".equals(selector.next(Set.of())));
    }
  }

  @Test
  public void vmsThatDeclinedAreAskedAgainLater() {
    addVms("near", 1);
    RelaySelector selector = newSelector(3);
    selector.onDeclined("near-0:70");
    assertNull(selector.next(Set.of()));
    ticker.advance(RelaySelector.DECLINED_MS);
    assertNotNull(selector.next(Set.of()));
  }

  @Test
  public void partitionedVmsSpreadOverTheOthers() {
    addVms("near", 30);
    Map<String, Integer> uses = new HashMap<>();
    for (int vm = 0; vm < 300; vm++) {
      uses.merge(String.valueOf(newSelector(vm).next(Set.of())), 1, Integer::sum);
    }
    assertEquals(uses.size(), 30);
    uses.forEach((vm, count) -> assertTrue(count <= 30, vm + ": " + count));
  }
}
