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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.landingtrack.internal.serving.ManualEventLoop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a service counts as mixed, and which versions may begin streams. */
public final class ServiceVersionsTest {
  private ManualEventLoop loop = new ManualEventLoop();
  private ServiceVersions versions = new ServiceVersions(loop);

  @BeforeMethod
  public void newVersions() {
    loop = new ManualEventLoop();
    versions = new ServiceVersions(loop);
    versions.assumeNoEarlierStreams();
  }

  @Test
  public void aNewVersionBeginsStreamsOnlyAfterAllVmsCanKnowOfIt() {
    versions.recordListed("s", "v1", true);
    assertTrue(versions.isSettled("s", "v1"));
    versions.recordListed("s", "v2", false);
    assertFalse(versions.isSettled("s", "v2"));
    assertTrue(versions.isSettled("s", "v1"));
    loop.advance(ServiceVersions.SETTLE_MS);
    assertTrue(versions.isSettled("s", "v2"));
  }

  @Test
  public void versionsOfTheFirstListBeginStreamsAtOnce() {
    versions.recordListed("s", "v1", true);
    versions.recordListed("s", "v2", true);
    assertTrue(versions.isSettled("s", "v1"));
    assertTrue(versions.isSettled("s", "v2"));
  }

  @Test
  public void aServiceStaysMixedWhileStreamsOfAVersionThatIsGoneMayBeResumed() {
    versions.recordListed("s", "v1", true);
    assertEquals(versions.onlyVersion("s"), "v1");
    versions.recordListed("s", "v2", false);
    assertNull(versions.onlyVersion("s"));
    for (long ms = 0; ms <= ServiceVersions.RETENTION_MS; ms += 1_000) {
      loop.advance(1_000);
      versions.recordListed("s", "v2", false);
      assertTrue(ms >= ServiceVersions.RETENTION_MS - 1_000 || versions.isMixed("s"));
    }
    loop.advance(ServiceVersions.RETENTION_MS);
    versions.recordListed("s", "v2", false);
    assertFalse(versions.isMixed("s"));
    assertEquals(versions.onlyVersion("s"), "v2");
  }

  @Test
  public void servicesAreIndependent() {
    versions.recordListed("s", "v1", true);
    versions.recordListed("s", "v2", true);
    versions.recordListed("other", "v1", true);
    assertFalse(versions.isMixed("other"));
    assertEquals(versions.mixedCount(), 1);
  }

  /** VMs that repeat each other's reports would keep a service mixed for ever. */
  @Test
  public void reportsOfOtherVmsDoNotKeepAServiceMixed() {
    versions.recordListed("s", "v1", true);
    versions.receiveReports(List.of(new MixedServiceReport("s", 20_000)));
    assertTrue(versions.isMixed("s"));
    ServiceVersions other = new ServiceVersions(loop);
    for (int round = 0; round < 250; round++) {
      loop.advance(100);
      other.receiveReports(versions.reportsToSend());
      versions.receiveReports(other.reportsToSend());
    }
    assertFalse(versions.isMixed("s"));
    assertEquals(versions.reportsToSend(), List.of());
  }

  @Test
  public void reportsAreBounded() {
    List<MixedServiceReport> reports = new ArrayList<>();
    for (int i = 0; i < 1_000; i++) {
      reports.add(new MixedServiceReport("s" + i, Long.MAX_VALUE));
    }
    versions.receiveReports(reports);
    assertEquals(versions.reportsToSend().size(), ServiceVersions.MAX_REPORTS);
    assertTrue(versions.mixedCount() < 1_000);
    loop.advance(ServiceVersions.RETENTION_MS);
    assertEquals(versions.mixedCount(), 0);
  }

  @Test
  public void aServiceBecomesMixedOnce() {
    List<String> mixed = new ArrayList<>();
    versions.onMixed(mixed::add);
    versions.recordListed("s", "v1", true);
    versions.recordListed("s", "v2", false);
    versions.recordListed("s", "v2", false);
    assertEquals(mixed, List.of("s"));
  }
}
