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
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.landingtrack.internal.base.FakeTicker;
import org.landingtrack.internal.reachability.ServerLinks.Failure;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when links count as down, and how often they are tried and checked. */
public final class ServerLinksTest {
  private final FakeTicker ticker = new FakeTicker();
  private final List<String> changes = new ArrayList<>();
  private ServerLinks links = newLinks();

  private ServerLinks newLinks() {
    return new ServerLinks(
        ticker,
        new ServerLinks.Listener() {
          @Override
          public void linkDown(String server, Failure failure) {
            changes.add("down " + server);
          }

          @Override
          public void linkUp(String server, long downMs) {
            changes.add("up " + server + " " + downMs);
          }

          @Override
          public void partitionChanged(boolean isPartitioned, int failedLinks) {
            changes.add("partitioned " + isPartitioned);
          }
        });
  }

  @BeforeMethod
  public void setUp() {
    ticker.advance(100_000);
    changes.clear();
    links = newLinks();
  }

  @Test
  public void oneFailedLinkIsNoPartition() {
    links.onFailed("a", Failure.SILENT, true);
    links.onFailed("a", Failure.SILENT, true);
    assertTrue(links.isDown("a"));
    assertFalse(links.isPartitioned());
    ticker.advance(70);
    links.onConnected("a");
    assertFalse(links.isDown("a"));
    assertEquals(changes, List.of("down a", "up a 70"));
  }

  @Test
  public void oneConnectionEndsAPartition() {
    links.onFailed("a", Failure.SILENT, true);
    links.onFailed("b", Failure.REFUSED, false);
    assertTrue(links.isPartitioned());
    assertFalse(links.isDown("b"), "no other VM reached the server");
    links.onConnected("c");
    assertFalse(links.isPartitioned());
    assertTrue(links.takeProbe("a"), "other links may work again as well");
  }

  @Test
  public void someFailedLinksAreNoPartitionWhileOthersWork() {
    for (int i = 0; i < 20; i++) {
      links.onConnected("c");
      links.onFailed("a", Failure.SILENT, true);
      links.onFailed("b", Failure.SILENT, true);
      assertFalse(links.isPartitioned());
      ticker.advance(ServerLinks.MIN_PARTITION_MS / 2);
    }
    ticker.advance(ServerLinks.MIN_PARTITION_MS / 2);
    links.onFailed("a", Failure.SILENT, true);
    assertTrue(links.isPartitioned());
  }

  @Test
  public void linkThatIsDownIsTriedAtIntervals() {
    links.onFailed("a", Failure.SILENT, true);
    int probes = 0;
    for (int ms = 0; ms < 10 * ServerLinks.PROBE_INTERVAL_MS; ms += 10) {
      ticker.advance(10);
      probes += links.takeProbe("a") ? 1 : 0;
    }
    assertEquals(probes, 10);
  }

  @Test
  public void linkIsCheckedOnlyWhileAllServersAreSilent() {
    long sentAtMs = ticker.millis();
    ticker.advance(ServerLinks.ALL_SILENT_MS - 1);
    assertFalse(links.takeCheck("a", sentAtMs));
    links.onReceived("b");
    ticker.advance(1);
    assertFalse(links.takeCheck("a", sentAtMs), "another server was heard");
    ticker.advance(ServerLinks.ALL_SILENT_MS);
    assertTrue(links.takeCheck("a", sentAtMs));
    assertFalse(links.takeCheck("b", sentAtMs), "two checks at once");
  }

  @Test
  public void checksAreBoundedWhileServersStaySilent() {
    long sentAtMs = ticker.millis();
    int checks = 0;
    for (int ms = 0; ms < 10_000; ms += 10) {
      ticker.advance(10);
      checks += links.takeCheck("s" + ms % 40, sentAtMs) ? 1 : 0;
    }
    assertTrue(checks <= 10_000 / ServerLinks.CHECK_INTERVAL_MS, checks + " checks");
  }

  @Test
  public void connectionsUsedBeforeTheLinkFailedMayBeDead() {
    long beforeMs = ticker.millis() - 1;
    links.onFailed("a", Failure.SILENT, true);
    assertTrue(links.mayBeDead("a", beforeMs));
    assertFalse(links.mayBeDead("a", ticker.millis() + 1));
    assertFalse(links.mayBeDead("b", beforeMs));
    links.onFailed("b", Failure.SILENT, true);
    assertTrue(links.mayBeDead("c", beforeMs), "this VM is partitioned");
  }

  @Test
  public void openConnectionsOutliveARefusingLink() {
    long sinceMs = ticker.millis();
    links.onFailed("a", Failure.REFUSED, true);
    links.onFailed("b", Failure.SILENT, true);
    ticker.advance(ServerLinks.ALL_SILENT_MS);
    assertFalse(links.isSilent("a", sinceMs));
    assertTrue(links.isSilent("b", sinceMs));
  }

  @Test
  public void singleServerThatPausesForAMomentIsNotSilent() {
    long sinceMs = ticker.millis();
    links.onFailed("a", Failure.SILENT, true);
    ticker.advance(ServerLinks.SERVER_SILENT_MS - 1);
    assertFalse(links.isSilent("a", sinceMs));
    ticker.advance(1);
    assertTrue(links.isSilent("a", sinceMs));
  }
}
