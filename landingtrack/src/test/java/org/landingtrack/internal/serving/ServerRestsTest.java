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
package org.landingtrack.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.loads.RestNews;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one VM records and exchanges the backoffs that servers ask any VM for. */
public final class ServerRestsTest {
  private static final long SERVER = 42;
  private static final long LATER_MS = 1_000;

  private ManualLoop loop = new ManualLoop();
  private ServerRests rests = new ServerRests(loop, 7);

  @BeforeMethod
  public void forget() {
    loop = new ManualLoop();
    rests = new ServerRests(loop, 7);
  }

  @Test
  public void aRestOfAnotherVmIsKnownUntilThatOneHadTimeToTry() {
    rests.heard(List.of(new RestNews(SERVER, 2_000, 100)));
    loop.advance(2_200);
    assertTrue(rests.isElsewhere(SERVER));
    loop.advance(LATER_MS);
    assertFalse(rests.isElsewhere(SERVER));
  }

  @Test
  public void aRestOfThisVmIsToldForAWhileAndBindsItByItself() {
    rests.asked(SERVER, 3_000);
    loop.advance(100);
    assertEquals(rests.news(), List.of(new RestNews(SERVER, 2_900, 100)));
    assertFalse(rests.isElsewhere(SERVER));
    assertEquals(rests.count(), 1);
    loop.advance(ServerRests.TOLD_MS);
    assertEquals(rests.news(), List.of());
    loop.advance(3_000);
    assertEquals(rests.count(), 0);
  }

  /** Reports of other VMs are forwarded, for VMs that are connected only through a hub. */
  @Test
  public void whatWasHeardIsToldOnWithItsAge() {
    rests.heard(List.of(new RestNews(SERVER, 2_000, 100)));
    loop.advance(200);
    assertEquals(rests.news(), List.of(new RestNews(SERVER, 1_800, 300)));
  }

  @Test
  public void theLongerRestCounts() {
    rests.heard(List.of(new RestNews(SERVER, 5_000, 0)));
    rests.heard(List.of(new RestNews(SERVER, 500, 0)));
    assertEquals(rests.news(), List.of(new RestNews(SERVER, 5_000, 0)));
  }
}
