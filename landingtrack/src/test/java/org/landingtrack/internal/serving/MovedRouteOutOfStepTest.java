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

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.landingtrack.internal.streams.ServiceVersions;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests streams of a route that has moved to another service, at a VM that does not know it yet.
 */
public final class MovedRouteOutOfStepTest {
  private final List<ServingFixture> vms = new ArrayList<>();
  private ManualEventLoop loop;

  @BeforeMethod
  public void setUp() {
    loop = new ManualEventLoop();
    vms.clear();
    for (int i = 1; i <= 2; i++) {
      ServingFixture vm = new ServingFixture(loop, new NoOpDecisionLog(), "10.0.1." + i + ":70", i);
      vm.book.versions().assumeNoEarlierStreams();
      vm.book.replaceAll(List.of(engine("e1", "engines"), engine("f1", "engines-2")), 2);
      configure(vm, 2, "engines");
      vms.add(vm);
    }
    loop.advance(2 * ServiceVersions.RETENTION_MS);
    vms.forEach(vm -> vm.book.refreshVersions());
  }

  private static ServerEntry engine(String id, String service) {
    return new ServerEntry(
        id,
        service,
        "10.0.0.1:" + (id.equals("e1") ? 81 : 82),
        "dc-1",
        8,
        false,
        0,
        Map.of(ServingFixture.MODEL, 1L),
        0,
        "v1");
  }

  private static void configure(ServingFixture vm, long version, String service) {
    ServingConfig before = ServingFixture.config(version, "plain");
    Route route =
        new Route(
            "chat",
            "host",
            "/chat/",
            Route.RetryMode.RESUME,
            true,
            List.of(new Route.Target(service, 1)),
            1,
            1_200,
            300,
            2,
            true,
            300);
    vm.state.configure(
        new ServingConfig(
            version,
            List.of(route),
            Map.of("engines", before.service("engines"), "engines-2", before.service("engines")),
            ApiKeys.NOT_REQUIRED,
            CallerLimits.DEFAULT,
            List.of()),
        version);
  }

  /** Whether the store can be read by the VM that is out of step. */
  @DataProvider
  public Object[][] readsOfTheStore() {
    return new Object[][] {{true}, {false}};
  }

  /** The messages between the two VMs are lost, or go to other VMs. */
  @Test(dataProvider = "readsOfTheStore")
  public void streamBegunAtTheNewServiceIsNotContinuedAtTheOldOneByAVmThatIsOutOfStep(
      boolean readsStore) {
    ServingFixture first = vms.get(0);
    ServingFixture outOfStep = vms.get(1);
    startOutOfStep(outOfStep, readsStore);
    configure(first, 3, "engines-2");
    first.serving.serve(first.request("/chat/x", null), new RecordingSink());
    assertEquals(first.transport.last().call.serverId(), "f1");
    first.transport.last().startStream();
    first.transport.last().event("1");
    RecordingSink resumed = outOfStep.serveResumed("/chat/x", "1", "id-1");
    loop.advance(1_000);
    assertEquals(outOfStep.transport.sends.size(), 0, "sent to the old service");
    assertEquals(resumed.log.toString(), "refused STREAM_NOT_RESUMABLE");
  }

  /** A read of the store, if there is one, brings the configuration in which the route moved. */
  private static void startOutOfStep(ServingFixture vm, boolean readsStore) {
    vm.state
        .streams()
        .start(
            (receiver, message) -> {},
            listener -> {
              if (readsStore) {
                configure(vm, 3, "engines-2");
              }
              listener.accept(readsStore);
            });
  }
}
