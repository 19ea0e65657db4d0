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
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.streams.OriginVms.OriginVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how VMs find out at which software version a stream began. */
public final class StreamOriginsTest {
  private static final StreamOrigin V1 = new StreamOrigin(OriginVms.SERVICE, "v1");
  private static final StreamOrigin V2 = new StreamOrigin(OriginVms.SERVICE, "v2");

  private static StreamKey key(int number) {
    return StreamKey.of("team", "request-" + number);
  }

  private static OriginVms fleet(int vms) {
    OriginVms fleet = new OriginVms(vms, 0, 1);
    fleet.gossip();
    return fleet;
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{2}, {3}, {7}, {30}, {74}, {300}};
  }

  @Test(dataProvider = "sizes")
  public void streamOfAMixedServiceIsKnownAfterItsVmEnded(int vms) {
    OriginVms fleet = fleet(vms);
    fleet.list("v1", "v2");
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(0).origins.recordStart(key(i), i % 2 == 0 ? V1 : V2);
    }
    fleet.loop.advance(10);
    fleet.vms.get(0).hasEnded = true;
    for (int i = 0; i < 20; i++) {
      OriginVm resumes = fleet.vms.get(1 + i % (vms - 1));
      assertEquals(resumes.find(key(i)), i % 2 == 0 ? V1 : V2);
    }
  }

  /** The bound that CAPACITY states for services with one version: two announcements a stream. */
  @Test(dataProvider = "sizes")
  public void streamsOfTheOnlyVersionAreAnnouncedToTwoVms(int vms) {
    OriginVms fleet = fleet(vms);
    fleet.list("v1");
    for (int i = 0; i < 100; i++) {
      fleet.vms.get(i % vms).origins.recordStart(key(i), V1);
    }
    fleet.loop.advance(1_000);
    int perStream = Math.min(vms - 1, StreamOrigins.SINGLE_VERSION_REPLICAS);
    assertEquals(fleet.datagrams(), 100 * perStream);
    assertTrue(fleet.largestDatagram() <= 64, "bytes " + fleet.largestDatagram());
    for (int i = 0; i < 100; i++) {
      assertEquals(fleet.vms.get((i + 1) % vms).find(key(i)), V1);
    }
  }

  /** The bound that CAPACITY states: three announcements a stream, one datagram each. */
  @Test(dataProvider = "sizes")
  public void messagesForAStreamAreBounded(int vms) {
    OriginVms fleet = fleet(vms);
    fleet.list("v1", "v2");
    for (int i = 0; i < 100; i++) {
      fleet.vms.get(0).origins.recordStart(key(i), V1);
    }
    assertTrue(fleet.datagrams() <= 100 * StreamOrigins.REPLICAS, "sent " + fleet.datagrams());
    assertTrue(fleet.largestDatagram() <= 64, "bytes " + fleet.largestDatagram());
    int before = fleet.datagrams();
    fleet.vms.get(1).find(StreamKey.of("team", "nobody's"));
    int forSearch = fleet.datagrams() - before;
    assertTrue(forSearch <= 2 * StreamOrigins.MAX_ASKED_VMS, "sent " + forSearch);
  }

  @Test
  public void streamsBegunBeforeAServiceBecomesMixedAreAnnounced() {
    OriginVms fleet = fleet(7);
    fleet.list("v1");
    for (int i = 0; i < 200; i++) {
      fleet.vms.get(0).origins.recordStart(key(i), V1);
    }
    fleet.list("v2");
    fleet.loop.advance(10);
    fleet.vms.get(0).hasEnded = true;
    for (int i = 0; i < 200; i++) {
      assertEquals(fleet.vms.get(1 + i % 6).find(key(i)), V1);
    }
  }

  /** A VM serves before it has exchanged its first messages with others. */
  @Test
  public void vmThatHasJustStartedSearchesOnceItKnowsOthers() {
    OriginVms fleet = fleet(4);
    fleet.list("v1", "v2");
    fleet.vms.get(0).origins.recordStart(key(1), V2);
    OriginVm started = fleet.add();
    started.start();
    fleet.list(started, "v1", "v2");
    List<StreamOrigin> found = new ArrayList<>();
    started.origins.find(key(1), OriginVms.SERVICE, result -> found.add(result.origin()));
    fleet.loop.advance(300);
    assertEquals(found, List.of(), "no other VM is known yet");
    fleet.gossip();
    fleet.loop.advance(StreamOrigins.SEARCH_TIMEOUT_MS);
    assertEquals(found, List.of(V2));
  }

  @Test
  public void vmThatKnowsNoOthersEndsItsSearch() {
    OriginVms fleet = new OriginVms(1, 0, 1);
    fleet.list("v1", "v2");
    OriginVm alone = fleet.vms.get(0);
    List<@Nullable StreamOrigin> found = new ArrayList<>();
    alone.origins.find(key(1), OriginVms.SERVICE, result -> found.add(result.origin()));
    fleet.loop.advance(StreamOrigins.START_TIMEOUT_MS + StreamOrigins.RETRY_MS);
    assertEquals(found, Collections.singletonList(null));
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_WINDOW_MS);
    alone.origins.find(key(1), OriginVms.SERVICE, result -> found.add(result.origin()));
    assertEquals(found.size(), 2, "at once: it is no longer starting");
  }

  @Test
  public void streamOfAServiceIsUnknownWhenNoVmKnowsIt() {
    OriginVms fleet = fleet(7);
    fleet.list("v1", "v2");
    long before = fleet.loop.millis();
    List<StreamOrigin> found = new ArrayList<>();
    fleet.vms.get(0).origins.find(key(1), OriginVms.SERVICE, result -> found.add(result.origin()));
    fleet.loop.advance(5);
    assertEquals(found.size(), 1, "all VMs replied, so nothing is left to wait for");
    assertNull(found.get(0));
    assertTrue(fleet.loop.millis() - before < StreamOrigins.RETRY_MS);
  }

  /** A VM that has just started would take the version that it sees for the only one. */
  @Test
  public void vmWithoutHistoryDoesNotAssumeTheVersionThatItSees() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    fleet.vms.forEach(vm -> vm.hasEnded = true);
    OriginVm started = fleet.add();
    started.start();
    fleet.list(started, "v2");
    fleet.gossip();
    assertNull(started.find(key(1)));
    fleet.loop.advance(ServiceVersions.RETENTION_MS);
    assertEquals(started.find(key(1)), V2);
  }

  /** After the end of all VMs none has a history that another one could take over. */
  @Test(dataProvider = "sizes")
  public void streamIsKnownAfterItsVmEndedWhileNoVmHasAHistory(int vms) {
    OriginVms fleet = new OriginVms(0, 0, 1);
    for (int i = 0; i < vms; i++) {
      fleet.add().start();
    }
    fleet.gossip();
    fleet.list("v1");
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(0).origins.recordStart(key(i), V1);
    }
    fleet.loop.advance(10);
    fleet.vms.get(0).hasEnded = true;
    for (int i = 0; i < 20; i++) {
      assertEquals(fleet.vms.get(1 + i % (vms - 1)).find(key(i)), V1);
    }
  }

  @Test
  public void vmThatStartsTakesOverTheHistoryOfOthers() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    OriginVm started = fleet.add();
    fleet.gossip();
    started.start();
    fleet.list(started, "v1");
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    fleet.vms.forEach(vm -> vm.hasEnded = vm != started);
    assertEquals(started.find(key(1)), V1);
  }

  /** The version that remains after a rollout is not that of the streams begun before. */
  @Test
  public void vmThatStartsAfterARolloutLearnsThatTheServiceWasMixed() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    fleet.vms.get(0).origins.recordStart(key(1), V1);
    fleet.list("v2");
    OriginVm started = fleet.add();
    fleet.introduce();
    started.start();
    fleet.list(started, "v2");
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    fleet.vms.forEach(vm -> vm.hasEnded = vm != started);
    assertNull(started.find(key(2)));
  }

  @Test
  public void vmThatStartsDoesNotAssumeAVersionThatVmsWithHistoryHaveNotListedYet() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    fleet.vms.get(0).origins.recordStart(key(1), V1);
    OriginVm started = fleet.add();
    fleet.introduce();
    started.start();
    fleet.list(started, "v2");
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    assertNotEquals(started.find(key(1)), V2);
  }

  @Test
  public void timeBeforeTheFirstListIsNotHistory() {
    OriginVms fleet = fleet(2);
    OriginVm started = fleet.add();
    started.start();
    fleet.loop.advance(ServiceVersions.RETENTION_MS - 1_000);
    fleet.list(fleet.vms.get(0), "v1");
    fleet.vms.get(0).origins.recordStart(key(1), V1);
    fleet.vms.forEach(vm -> vm.hasEnded = vm != started);
    fleet.loop.advance(1_000);
    fleet.list(started, "v2");
    assertNull(started.find(key(1)));
  }

  @Test
  public void historyTakenOverBeforeTheFirstListLeavesAGap() {
    OriginVms fleet = fleet(2);
    fleet.list("v1");
    OriginVm started = fleet.add();
    fleet.introduce();
    started.start();
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    fleet.vms.get(0).origins.recordStart(key(1), V1);
    fleet.vms.forEach(vm -> vm.hasEnded = vm != started);
    fleet.loop.advance(1_000);
    fleet.list(started, "v2");
    assertEquals(started.find(key(1)), V1, "announced");
    assertNull(started.find(key(2)), "not announced, so v2 may not be concluded");
  }

  @Test
  public void vmWhoseFirstListIsLateTakesOverTheHistoryOfOthers() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    OriginVm started = fleet.add();
    fleet.introduce();
    started.start();
    fleet.loop.advance(2 * StreamOrigins.HISTORY_QUERY_WINDOW_MS);
    fleet.introduce();
    fleet.list("v1");
    fleet.loop.advance(2 * StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    assertEquals(started.find(key(1)), V1);
  }

  /** A VM without contact may not know of a version at which others have begun streams. */
  @Test
  public void vmWithoutContactDoesNotAssumeTheOnlyVersionThatItKnows() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    OriginVm cut = fleet.vms.get(2);
    cut.isCut = true;
    cut.isCurrent = false;
    fleet.list(fleet.vms.get(0), "v2");
    fleet.vms.get(0).origins.recordStart(key(1), V2);
    assertNull(cut.find(key(1)));
  }

  /** A VM out of step that replies first would decide for all that ask it. */
  @Test
  public void vmOutOfStepDoesNotReplyWithTheOnlyVersionThatItKnows() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    OriginVm asks = fleet.vms.get(0);
    fleet.list(asks, "v2");
    assertNull(asks.find(key(1)));
  }

  @Test
  public void versionThatCameAndLeftInAGapIsNotRuledOut() {
    OriginVms fleet = fleet(2);
    fleet.list("v1");
    OriginVm vm = fleet.vms.get(0);
    fleet.vms.get(1).hasEnded = true;
    assertEquals(vm.find(key(1)), V1);
    vm.versions.restartHistory();
    assertNull(vm.find(key(2)));
    fleet.loop.advance(ServiceVersions.RETENTION_MS);
    assertEquals(vm.find(key(3)), V1);
  }

  @Test
  public void vmWithAGapTakesOverTheHistoryOfOthers() {
    OriginVms fleet = fleet(3);
    fleet.list("v1");
    OriginVm vm = fleet.vms.get(0);
    vm.versions.restartHistory();
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    assertEquals(vm.find(key(1)), V1);
  }

  /** Its VM stands still while a version joins, and thus announces nothing then. */
  @Test(dataProvider = "sizes")
  public void streamBegunBeforeAVersionJoinsIsKnownWithoutItsVm(int vms) {
    OriginVms fleet = fleet(vms);
    fleet.list("v1");
    for (int i = 0; i < 20; i++) {
      fleet.vms.get(0).origins.recordStart(key(i), V1);
    }
    fleet.loop.advance(10);
    fleet.vms.get(0).hasEnded = true;
    for (OriginVm vm : fleet.vms.subList(1, vms)) {
      fleet.list(vm, "v2");
    }
    for (int i = 0; i < 20; i++) {
      assertEquals(fleet.vms.get(1 + i % (vms - 1)).find(key(i)), V1);
    }
  }

  @Test
  public void streamsThatAVmBeginsBeforeItKnowsOthersAreAnnouncedOnceItDoes() {
    OriginVms fleet = fleet(4);
    fleet.list("v1", "v2");
    OriginVm started = fleet.add();
    started.start();
    fleet.list(started, "v1", "v2");
    started.origins.recordStart(key(1), V2);
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    fleet.gossip();
    fleet.loop.advance(StreamOrigins.HISTORY_QUERY_INTERVAL_MS);
    started.hasEnded = true;
    assertEquals(fleet.vms.get(0).find(key(1)), V2);
  }

  @Test
  public void originIsUnknownIfTheStoreDoesNotAnswerInTime() {
    OriginVms fleet = fleet(1);
    OriginVm vm = fleet.vms.get(0);
    vm.origins.start((receiver, bytes) -> {}, listener -> {});
    fleet.list("v1");
    List<@Nullable StreamOrigin> found = new ArrayList<>();
    vm.origins.find(key(1), OriginVms.SERVICE, result -> found.add(result.origin()));
    fleet.loop.advance(StreamOrigins.CONFIRMATION_TIMEOUT_MS);
    assertEquals(found, Collections.singletonList(null));
  }

  @Test
  public void versionThatTheStoreListsByNowIsNotRuledOut() {
    OriginVms fleet = fleet(1);
    OriginVm vm = fleet.vms.get(0);
    vm.origins.start(
        (receiver, bytes) -> {},
        listener -> {
          fleet.list(vm, "v2");
          listener.accept(true);
        });
    fleet.list("v1");
    assertNull(vm.find(key(1)));
  }

  /** A VM that lost the store hears from another VM that the service is mixed. */
  @Test
  public void vmWithoutTheStoreHearsOfAMixedService() {
    OriginVms fleet = fleet(4);
    fleet.list("v1");
    OriginVm withoutStore = fleet.vms.get(3);
    for (int i = 0; i < 3; i++) {
      fleet.list(fleet.vms.get(i), "v2");
    }
    fleet.gossip();
    fleet.vms.get(0).origins.recordStart(key(1), V2);
    fleet.loop.advance(10);
    assertEquals(withoutStore.find(key(1)), V2);
    assertNull(withoutStore.find(key(2)));
  }

  @Test
  public void callersDoNotFindStreamsOfOtherTeams() {
    OriginVms fleet = fleet(3);
    fleet.list("v1", "v2");
    fleet.vms.get(0).origins.recordStart(StreamKey.of("team-1", "id"), V1);
    fleet.loop.advance(10);
    assertNull(fleet.vms.get(1).find(StreamKey.of("team-2", "id")));
  }

  @Test
  public void tableForgetsTheOldestStreams() {
    OriginVms fleet = fleet(1);
    fleet.list("v1", "v2");
    StreamOrigins origins = fleet.vms.get(0).origins;
    for (int i = 0; i <= StreamOriginTable.MAX_STREAMS; i++) {
      origins.recordStart(key(i), V1);
    }
    assertEquals(origins.knownCount(), StreamOriginTable.MAX_STREAMS);
    assertNull(fleet.vms.get(0).find(key(0)));
    assertEquals(fleet.vms.get(0).find(key(1)), V1);
    fleet.loop.advance(ServiceVersions.RETENTION_MS + 1);
    assertEquals(origins.knownCount(), 0);
  }

  @DataProvider
  public Object[][] seeds() {
    Object[][] seeds = new Object[50][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {i};
    }
    return seeds;
  }

  /**
   * VMs start, end and lose contact, and versions come and go, at random. An origin that is found
   * is the right one; with all VMs in contact, most are found.
   */
  @Test(dataProvider = "seeds")
  public void foundOriginsAreRightWhileVmsAndVersionsChange(int seed) {
    Random random = new Random(seed);
    OriginVms fleet = new OriginVms(4 + random.nextInt(10), 0.1, seed);
    fleet.gossip();
    List<String> versions = new ArrayList<>(List.of("v1"));
    Map<Integer, StreamOrigin> begun = new HashMap<>();
    int streams = 0;
    int resumed = 0;
    int found = 0;
    for (int step = 0; step < 400; step++) {
      fleet.loop.advance(100);
      change(fleet, versions, random);
      fleet.gossip();
      for (OriginVm vm : fleet.vms) {
        if (!vm.hasEnded && !vm.isCut) {
          versions.forEach(version -> fleet.list(vm, version));
        }
      }
      OriginVm begins = pick(fleet, random);
      String version = settledVersion(begins, versions, random);
      if (!begins.isCut && version != null) {
        begun.put(streams, new StreamOrigin(OriginVms.SERVICE, version));
        begins.origins.recordStart(key(streams), begun.get(streams));
        streams++;
      }
      if (streams > 0) {
        int number = Math.max(0, streams - 1 - random.nextInt(20));
        OriginVm resumes = pick(fleet, random);
        StreamOrigin origin = resumes.find(key(number));
        resumed++;
        if (origin != null) {
          found++;
          assertEquals(origin, begun.get(number), "stream " + number + " in step " + step);
        }
      }
    }
    assertTrue(found > resumed / 2, found + " of " + resumed + " found");
  }

  private static String settledVersion(OriginVm vm, List<String> versions, Random random) {
    List<String> settled = new ArrayList<>();
    for (String version : versions) {
      if (vm.versions.isSettled(OriginVms.SERVICE, version)) {
        settled.add(version);
      }
    }
    return settled.isEmpty() ? null : settled.get(random.nextInt(settled.size()));
  }

  private static OriginVm pick(OriginVms fleet, Random random) {
    while (true) {
      OriginVm vm = fleet.vms.get(random.nextInt(fleet.vms.size()));
      if (!vm.hasEnded) {
        return vm;
      }
    }
  }

  private static void change(OriginVms fleet, List<String> versions, Random random) {
    long living = fleet.vms.stream().filter(vm -> !vm.hasEnded).count();
    switch (random.nextInt(60)) {
      case 0 -> versions.add("v" + (versions.size() + random.nextInt(1_000)));
      case 1, 2 -> {
        if (versions.size() > 1) {
          versions.remove(random.nextInt(versions.size()));
        }
      }
      case 3, 4 -> {
        if (living > 3) {
          pick(fleet, random).hasEnded = true;
        }
      }
      case 5, 6 -> {
        OriginVm started = fleet.add();
        fleet.gossip();
        started.start();
      }
      case 7 -> {
        OriginVm vm = pick(fleet, random);
        vm.isCut = true;
        vm.isCurrent = false;
      }
      case 8, 9, 10 ->
          fleet.vms.forEach(
              vm -> {
                vm.isCut = false;
                vm.isCurrent = true;
              });
      default -> {}
    }
  }
}
