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
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.landingtrack.internal.loads.LimitNews;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how one VM records and exchanges the rate limits that servers set. */
public final class ServerLimitsTest {
  private static final long SERVER = 42;

  private ManualLoop loop = new ManualLoop();
  private ServerLimits limits = new ServerLimits(loop);

  @BeforeMethod
  public void forget() {
    loop = new ManualLoop();
    limits = new ServerLimits(loop);
  }

  /** Responses may arrive out of order: one to a request sent before the limit does not end it. */
  @Test
  public void anAnswerThatMayBeEarlierEndsNoLimit() {
    long setMs = loop.millis();
    assertTrue(limits.named(SERVER, 1.3));
    loop.advance(200);
    assertFalse(limits.notNamed(SERVER, setMs - 100));
    assertFalse(limits.notNamed(SERVER, setMs));
    assertEquals(limits.find(SERVER).named(), 1.3);
    assertTrue(limits.notNamed(SERVER, setMs + 1));
    assertNull(limits.find(SERVER));
    assertEquals(limits.count(), 0);
  }

  @Test
  public void zeroIsALimitUnderWhichItsEndIsStillHeard() {
    limits.named(SERVER, 0);
    assertEquals(limits.find(SERVER).inWindow(), 1);
    assertEquals(limits.find(SERVER).windowMs(), 10_000);
  }

  /** The latest report of a server wins, whatever the order and repetition of reports. */
  @Test
  public void theLaterWordCounts() {
    limits.heard(List.of(new LimitNews(SERVER, LimitNews.NONE, 100)));
    assertNull(limits.find(SERVER), "the end of an unknown limit creates no limit");
    limits.heard(List.of(new LimitNews(SERVER, 2, 300)));
    assertEquals(limits.find(SERVER).named(), 2.0);
    limits.heard(List.of(new LimitNews(SERVER, LimitNews.NONE, 400)));
    assertNotNull(limits.find(SERVER));
    limits.heard(List.of(new LimitNews(SERVER, LimitNews.NONE, 100)));
    limits.heard(List.of(new LimitNews(SERVER, 2, 300)));
    assertNull(limits.find(SERVER));
  }

  @Test
  public void whatIsOldIsNotToldAndForgottenLater() {
    limits.named(SERVER, 2);
    loop.advance(100);
    assertEquals(limits.news(), List.of(new LimitNews(SERVER, 2, 100)));
    loop.advance(ServerLimits.TOLD_MS);
    assertEquals(limits.news(), List.of());
    assertNotNull(limits.find(SERVER));
    loop.advance(ServerLimits.FORGET_MS);
    limits.news();
    assertNull(limits.find(SERVER));
  }

  @Test
  public void theLatestAreToldFirstAndOnlySoMany() {
    for (int i = 0; i < ServerLimits.MAX_TOLD + 10; i++) {
      limits.named(i, 2);
      loop.advance(1);
    }
    List<LimitNews> sent = limits.news();
    assertEquals(sent.size(), ServerLimits.MAX_TOLD);
    assertEquals(sent.get(0).server(), ServerLimits.MAX_TOLD + 9);
  }

  @Test
  public void noMoreLimitsAreKeptThanServersCanBe() {
    for (int i = 0; i < ServerLimits.MAX_KEPT; i++) {
      assertTrue(limits.named(i, 2));
    }
    assertFalse(limits.named(-1, 2));
  }
}
