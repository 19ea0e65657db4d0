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
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.serving.RestartingFleet.Vm;
import org.landingtrack.internal.streams.ServiceVersions;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests streams that callers take up again after all VMs lost power at once during a change of
 * software versions: each has events of one version only, or is refused.
 */
public final class StreamsAfterPowerLossSeedsTest {
  private static final int VMS = 7;
  private static final int SERVERS = 3;
  private static final int[] SEEDS = {0, 1, 2, 3, 22, 34};
  private static final long STEP_MS = 40;
  private static final long POWER_LOSS_MS = 8_000;
  private static final long LENGTH_MS = 65_000;
  private static final long SERVES_ON_MS = 2_500;
  private static final int MAX_TRIES = 4;
  private static final long RETRY_GAP_MS = 300;

  /** What happens to the old software version about when the VMs lose power. */
  private enum Change {
    BOTH_SERVE,
    ANNOUNCED_JUST_BEFORE,
    UNLISTED_JUST_BEFORE,
    LEAVES_WHILE_VMS_ARE_DOWN,
    LEAVES_JUST_AFTER_THE_START,
    KEEPS_ITS_IDS
  }

  /** What the callers of one run got. */
  private static final class Outcome {
    private int begun;
    private int takenUp;
    private int wentOn;
    private int refused;
    private final List<String> joined = new ArrayList<>();

    @Override
    public String toString() {
      return "%d begun, %d taken up: %d went on, %d refused, %d joined"
          .formatted(begun, takenUp, wentOn, refused, joined.size());
    }
  }

  @DataProvider
  public Object[][] runs() {
    List<Object[]> runs = new ArrayList<>();
    for (Change change : Change.values()) {
      for (int seed : SEEDS) {
        runs.add(new Object[] {change, seed});
      }
    }
    return runs.toArray(new Object[0][]);
  }

  @Test(dataProvider = "runs")
  public void streamTakenUpAfterAllVmsLostPowerIsNotJoinedFromTwoVersions(Change change, int seed) {
    Outcome outcome = new Run(change, seed).run();
    assertEquals(outcome.joined, List.of(), outcome.toString());
    assertTrue(outcome.wentOn > outcome.takenUp / 10, outcome.toString());
  }

  /** One run: its fleet, its callers and its random decisions. */
  private static final class Run {
    private final Change change;
    private final Random random;
    private final RestartingFleet fleet;
    private final ManualEventLoop loop;
    private final long startMs;
    private final Outcome outcome = new Outcome();
    private int servers;
    private int requests;

    Run(Change change, int seed) {
      this.change = change;
      random = new Random(31L * change.ordinal() + 1_009L * seed);
      fleet = new RestartingFleet(VMS, seed);
      loop = fleet.loop;
      startMs = loop.millis();
    }

    Outcome run() {
      List<String> old = startServers("v1");
      fleet.addresses().forEach(vm -> fleet.start(vm, true, each -> {}));
      List<String> next = new ArrayList<>();
      at(POWER_LOSS_MS - between(700, 6_000), () -> next.addAll(startServers("v2")));
      long downMs = between(500, 3_000);
      at(POWER_LOSS_MS, () -> losePower(downMs));
      if (random.nextInt(3) == 0) {
        at(POWER_LOSS_MS + downMs + between(200, 4_000), () -> losePower(between(500, 3_000)));
      }
      planChange(old, downMs);
      planLaterChange(next);
      for (long at = 0; at < LENGTH_MS; at += STEP_MS) {
        at(at, this::begin);
      }
      loop.advance(LENGTH_MS);
      return outcome;
    }

    private void at(long ms, Runnable action) {
      loop.schedule(startMs + ms - loop.millis(), action);
    }

    private long between(long least, long most) {
      return least + (long) (random.nextDouble() * (most - least));
    }

    private List<String> startServers(String version) {
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        ids.add("i-" + servers++);
        fleet.startServer(ids.get(i), version);
      }
      return ids;
    }

    private void planChange(List<String> old, long downMs) {
      switch (change) {
        case BOTH_SERVE -> {}
        case ANNOUNCED_JUST_BEFORE -> {
          at(POWER_LOSS_MS - between(0, 500), () -> old.forEach(fleet::announceLeaving));
          at(POWER_LOSS_MS + between(500, 3_000), () -> end(old));
        }
        case UNLISTED_JUST_BEFORE -> at(POWER_LOSS_MS - between(0, 600), () -> end(old));
        case LEAVES_WHILE_VMS_ARE_DOWN -> at(POWER_LOSS_MS + between(0, downMs), () -> end(old));
        case LEAVES_JUST_AFTER_THE_START ->
            at(POWER_LOSS_MS + downMs + between(0, 1_000), () -> end(old));
        case KEEPS_ITS_IDS ->
            at(
                POWER_LOSS_MS + between(0, downMs / 2),
                () -> old.forEach(id -> fleet.startServer(id, "v3")));
      }
    }

    /** Removes the entries of servers, which serve on for a while. */
    private void end(List<String> ids) {
      ids.forEach(fleet::unlist);
      loop.schedule(between(0, SERVES_ON_MS), () -> ids.forEach(fleet::endServer));
    }

    /** Replaces the newer version as well, while a VM starts alone. */
    private void planLaterChange(List<String> ids) {
      long changeMs = POWER_LOSS_MS + between(10_000, 45_000);
      at(changeMs, () -> startServers("v4"));
      at(changeMs + between(0, 1_500), () -> end(ids));
      if (random.nextInt(2) == 0) {
        at(changeMs, () -> fleet.running().forEach(vm -> vm.storeDelayMs = between(3_000, 4_000)));
      }
      for (int i = 0; i < 2; i++) {
        at(changeMs + between(-3_000, 3_000), () -> restart(anyAddress(), between(100, 3_000)));
      }
    }

    private String anyAddress() {
      return fleet.addresses().get(random.nextInt(VMS));
    }

    private void losePower(long downMs) {
      fleet.addresses().forEach(vm -> restart(vm, downMs + between(0, 500)));
      if (random.nextInt(2) == 0) {
        restart(anyAddress(), downMs + between(2_000, 40_000));
      }
    }

    private void restart(String vm, long downMs) {
      fleet.kill(vm);
      loop.schedule(downMs, () -> fleet.start(vm, false, storeTrouble()));
    }

    /** Delays the answers of the store, or holds them back for some time. */
    private Consumer<Vm> storeTrouble() {
      long delayMs = random.nextInt(3) == 0 ? between(0, 4_000) : between(0, 300);
      long awayMs = random.nextInt(3) == 0 ? between(0, 40_000) : 0;
      return vm -> {
        vm.storeDelayMs = delayMs;
        vm.storeAwayUntilMs = loop.millis() + awayMs;
      };
    }

    private void begin() {
      Vm vm = anyReady();
      if (vm == null) {
        return;
      }
      String id = "r-" + requests++;
      ReceivedStream stream = new ReceivedStream(id, loop.millis());
      vm.serve(id, stream, null);
      loop.schedule(between(5, 300), () -> lose(stream));
    }

    private @Nullable Vm anyReady() {
      List<Vm> ready = fleet.running().stream().filter(Vm::isReady).toList();
      return ready.isEmpty() ? null : ready.get(random.nextInt(ready.size()));
    }

    /** Breaks the connection of a caller, who takes the stream up again. */
    private void lose(ReceivedStream stream) {
      stream.close();
      if (stream.lastEvent == 0 || stream.isComplete) {
        return;
      }
      outcome.begun++;
      boolean isNamed = random.nextInt(10) > 0;
      int copies = random.nextInt(5) == 0 ? 2 : 1;
      for (int i = 0; i < copies; i++) {
        long leftMs = stream.begunAtMs + ServiceVersions.RETENTION_MS - loop.millis();
        long afterMs = random.nextInt(4) == 0 ? between(0, leftMs - 2_000) : between(0, 3_000);
        loop.schedule(afterMs, () -> takeUp(stream, isNamed, MAX_TRIES));
      }
    }

    private void takeUp(ReceivedStream stream, boolean isNamed, int triesLeft) {
      Vm vm = anyReady();
      if (triesLeft == 0 || loop.millis() - stream.begunAtMs > ServiceVersions.RETENTION_MS) {
        return;
      }
      if (vm == null) {
        loop.schedule(RETRY_GAP_MS, () -> takeUp(stream, isNamed, triesLeft));
        return;
      }
      ReceivedStream answer = stream.takeUp();
      vm.serve("r-" + requests++, answer, isNamed ? stream.firstRequestId : null);
      loop.schedule(
          2 * RETRY_GAP_MS,
          () -> {
            judge(answer);
            if (answer.isRefused) {
              loop.schedule(RETRY_GAP_MS, () -> takeUp(stream, isNamed, triesLeft - 1));
            }
          });
    }

    private void judge(ReceivedStream answer) {
      outcome.takenUp++;
      outcome.wentOn += answer.isComplete ? 1 : 0;
      outcome.refused += answer.isRefused ? 1 : 0;
      if (answer.isJoined()) {
        outcome.joined.add(answer.firstRequestId + answer.log);
      }
    }
  }
}
