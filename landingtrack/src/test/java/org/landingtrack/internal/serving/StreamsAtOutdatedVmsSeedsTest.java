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
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.landingtrack.internal.serving.RestartingFleet.Vm;
import org.landingtrack.internal.streams.ServiceVersions;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests streams that callers take up again while VMs don't know the current servers, and servers of
 * software versions come and go: each stream has events of one version only, or is refused, and VMs
 * that know the current servers refuse few.
 */
public final class StreamsAtOutdatedVmsSeedsTest {
  private static final int VMS = Integer.getInteger("landingtrack.outdatedVms", 7);
  private static final int SEEDS = Integer.getInteger("landingtrack.outdatedVmsSeeds", 4);
  private static final int FIRST_SEED = Integer.getInteger("landingtrack.outdatedVmsFirstSeed", 1);
  private static final int SERVERS = 3;
  private static final long START_MS = 1_000;
  private static final long STEP_MS = 40;
  private static final long FIRST_TROUBLE_MS = 7_000;
  private static final long SECOND_TROUBLE_MS = 55_000;
  private static final long LENGTH_MS = 75_000;
  private static final long MAX_TROUBLE_MS = 8_000;
  private static final long STORE_OUTAGE_MS = 10_000;
  private static final long MAX_PAUSE_MS = 4_000;

  /** Time after an outage of the store within which each VM reads it again. */
  private static final long MAX_BACKOFF_MS = 2_000;

  /** Time after which a VM that stood still, or lost the store, is expected to know the servers. */
  private static final long IN_TOUCH_MS = 3_000;

  private static final long SERVES_ON_MS = 2_500;
  private static final long RETRY_GAP_MS = 300;
  private static final long ANSWER_MS = 600;
  private static final int MAX_TRIES = 2;

  /** Continued streams in relation to new ones, at VMs in touch. */
  private static final double MIN_RELATIVE_SHARE = 0.9;

  /** Why VMs don't know the current servers. */
  private enum Trouble {
    CUT_OFF,
    CUT_OFF_FROM_STORE,
    TWO_CUT_OFF_TOGETHER,
    DATA_CENTRE_CUT_OFF,
    STAND_STILL,
    STORE_AWAY,
    WATCH_BROKEN
  }

  /** What happens to the software versions meanwhile. */
  private enum Change {
    JOINS,
    REPLACES,
    IS_ROLLED_BACK
  }

  /** Attempts and their results. */
  private static final class Count {
    private int attempts;
    private int successes;

    void add(boolean isSuccess) {
      attempts++;
      successes += isSuccess ? 1 : 0;
    }

    double share() {
      return attempts == 0 ? 1 : (double) successes / attempts;
    }

    @Override
    public String toString() {
      return successes + " of " + attempts;
    }
  }

  /** What the callers of one run got. */
  private static final class Outcome {
    private final Count begun = new Count();
    private final Count wentOn = new Count();
    private final Count wentOnElsewhere = new Count();
    private final List<String> joined = new ArrayList<>();

    @Override
    public String toString() {
      return "at VMs in touch %s streams begun, %s taken up went on; elsewhere %s; %d joined"
          .formatted(begun, wentOn, wentOnElsewhere, joined.size());
    }
  }

  @DataProvider
  public Object[][] runs() {
    List<Object[]> runs = new ArrayList<>();
    for (Trouble trouble : Trouble.values()) {
      for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
        runs.add(new Object[] {trouble, seed});
      }
    }
    return runs.toArray(new Object[0][]);
  }

  @Test(dataProvider = "runs")
  public void streamTakenUpWhileVmsAreOutdatedIsNotJoinedFromTwoVersions(
      Trouble trouble, int seed) {
    Outcome outcome = new Run(trouble, seed).run();
    System.out.printf("%s, seed %d, %d VMs: %s%n", trouble, seed, VMS, outcome);
    assertEquals(outcome.joined, List.of(), outcome.toString());
    assertTrue(outcome.wentOn.attempts > 0 && outcome.begun.successes > 0, outcome.toString());
    assertTrue(
        outcome.wentOn.share() >= MIN_RELATIVE_SHARE * outcome.begun.share(), outcome.toString());
  }

  /** One run: its fleet, its callers and its random decisions. */
  private static final class Run {
    private final Trouble trouble;
    private final Random random;
    private final RestartingFleet fleet;
    private final ManualEventLoop loop;
    private final long startMs;
    private final Outcome outcome = new Outcome();
    private final List<ReceivedStream> answers = new ArrayList<>();

    /** The VMs that the last trouble concerns. */
    private List<Vm> troubled = List.of();

    /** The servers of each version that was started and not ended; the oldest first. */
    private final List<List<String>> generations = new ArrayList<>();

    private long storeAwayUntilMs;
    private int servers;
    private int requests;

    Run(Trouble trouble, int seed) {
      this.trouble = trouble;
      random = new Random(31L * trouble.ordinal() + 1_009L * seed);
      fleet = new RestartingFleet(VMS, seed);
      loop = fleet.loop;
      startMs = loop.millis();
    }

    Outcome run() {
      startServers();
      fleet.addresses().forEach(vm -> at(between(0, 200), () -> fleet.start(vm, true, each -> {})));
      at(FIRST_TROUBLE_MS + between(0, 2_000), this::startTrouble);
      at(SECOND_TROUBLE_MS + between(0, 2_000), this::startTrouble);
      for (long at = START_MS; at < LENGTH_MS; at += STEP_MS) {
        at(at, this::begin);
      }
      loop.advance(LENGTH_MS);
      for (ReceivedStream answer : answers) {
        if (answer.isJoined()) {
          outcome.joined.add(answer.firstRequestId + answer.log);
        }
      }
      return outcome;
    }

    private void at(long ms, Runnable action) {
      loop.schedule(startMs + ms - loop.millis(), action);
    }

    private long between(long least, long most) {
      return least + (long) (random.nextDouble() * (most - least));
    }

    private void startServers() {
      String version = "v" + (servers / SERVERS + 1);
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < SERVERS; i++) {
        ids.add("i-" + servers++);
        fleet.startServer(ids.get(i), version);
      }
      generations.add(ids);
    }

    /** Removes the entries of servers, which serve on for a while. */
    private void end(List<String> ids) {
      generations.remove(ids);
      ids.forEach(fleet::unlist);
      loop.schedule(between(0, SERVES_ON_MS), () -> ids.forEach(fleet::endServer));
    }

    private void startTrouble() {
      long lengthMs =
          trouble == Trouble.STORE_AWAY ? STORE_OUTAGE_MS : between(2_000, MAX_TROUBLE_MS);
      List<Vm> shuffled = new ArrayList<>(fleet.running());
      Collections.shuffle(shuffled, random);
      switch (trouble) {
        case CUT_OFF -> cutOff(shuffled.subList(0, 1), lengthMs);
        case TWO_CUT_OFF_TOGETHER -> cutOff(shuffled.subList(0, 2), lengthMs);
        case DATA_CENTRE_CUT_OFF -> cutOff(shuffled.subList(0, (VMS + 2) / 3), lengthMs);
        case CUT_OFF_FROM_STORE, WATCH_BROKEN -> cutOffFromStore(shuffled.subList(0, 1), lengthMs);
        case STAND_STILL -> {
          lengthMs = between(700, MAX_PAUSE_MS);
          pause(shuffled.subList(0, 1 + random.nextInt(3)), lengthMs);
        }
        case STORE_AWAY -> {
          storeAwayUntilMs = loop.millis() + lengthMs;
          cutOffFromStore(shuffled, lengthMs);
          shuffled.forEach(vm -> vm.storeAwayUntilMs += between(0, MAX_BACKOFF_MS));
        }
      }
      planChange(lengthMs);
    }

    /**
     * Cuts VMs off; they may reach the store again before they reach the other VMs, or after it.
     */
    private void cutOff(List<Vm> vms, long ms) {
      cutOffFromStore(vms, ms + between(-1_500, 1_500));
      vms.forEach(vm -> vm.partition = 1);
      loop.schedule(ms, () -> vms.forEach(vm -> vm.partition = 0));
    }

    private void cutOffFromStore(List<Vm> vms, long ms) {
      troubled = vms;
      vms.forEach(vm -> vm.storeAwayUntilMs = loop.millis() + ms);
    }

    private void pause(List<Vm> vms, long ms) {
      troubled = vms;
      vms.forEach(vm -> vm.pause(ms));
    }

    /** Lets another version join during a trouble, and perhaps leave, or the older one. */
    private void planChange(long lengthMs) {
      Change change =
          trouble == Trouble.WATCH_BROKEN
              ? Change.IS_ROLLED_BACK
              : Change.values()[random.nextInt(Change.values().length)];
      long joinMs = between(0, lengthMs * 3 / 4);
      List<String> old = generations.get(0);
      loop.schedule(joinMs, this::startServers);
      switch (change) {
        case JOINS -> {}
        case REPLACES -> loop.schedule(joinMs + between(600, 4_000), () -> end(old));
        case IS_ROLLED_BACK -> {
          long leaveMs = joinMs + between(600, Math.max(700, lengthMs - joinMs));
          loop.schedule(leaveMs, () -> end(generations.get(generations.size() - 1)));
        }
      }
    }

    private boolean isInTouch(Vm vm) {
      return vm.partition == 0
          && !vm.vmLoop.isPaused()
          && vm.hasRunFor(IN_TOUCH_MS)
          && (vm.hasReadStoreWithin(IN_TOUCH_MS) || isStoreAwayForAll());
    }

    /** Returns true during an outage of the store, and until all VMs could read it again. */
    private boolean isStoreAwayForAll() {
      return loop.millis() < storeAwayUntilMs + IN_TOUCH_MS;
    }

    private Vm anyVm(List<Vm> vms) {
      return vms.get(random.nextInt(vms.size()));
    }

    private void begin() {
      Vm vm = anyVm(fleet.running());
      boolean wasInTouch = isInTouch(vm);
      String id = "r-" + requests++;
      ReceivedStream stream = new ReceivedStream(id, loop.millis());
      vm.serve(id, stream, null);
      loop.schedule(
          between(100, 400),
          () -> {
            if (wasInTouch && isInTouch(vm)) {
              outcome.begun.add(stream.lastEvent > 0);
            }
            lose(stream);
          });
    }

    /** Breaks the connection of a caller, who takes the stream up again. */
    private void lose(ReceivedStream stream) {
      stream.close();
      if (stream.lastEvent > 0 && !stream.isComplete) {
        long leftMs = stream.begunAtMs + ServiceVersions.RETENTION_MS - loop.millis();
        long afterMs =
            random.nextInt(4) == 0 ? between(0, leftMs - MAX_PAUSE_MS - 1_000) : between(0, 3_000);
        loop.schedule(afterMs, () -> takeUp(stream, MAX_TRIES));
      }
    }

    private void takeUp(ReceivedStream stream, int triesLeft) {
      boolean isAtTroubled = !troubled.isEmpty() && random.nextInt(3) == 0;
      Vm vm = anyVm(isAtTroubled ? troubled : fleet.running());
      String version = stream.versions.iterator().next();
      boolean isExpected = isInTouch(vm) && fleet.serves(version);
      ReceivedStream answer = stream.takeUp();
      answers.add(answer);
      vm.serve("r-" + requests++, answer, stream.firstRequestId);
      loop.schedule(
          ANSWER_MS,
          () -> {
            boolean isCounted = isExpected && isInTouch(vm) && fleet.serves(version);
            (isCounted ? outcome.wentOn : outcome.wentOnElsewhere).add(answer.isComplete);
            if (answer.isRefused && triesLeft > 1) {
              loop.schedule(RETRY_GAP_MS, () -> takeUp(stream, triesLeft - 1));
            }
          });
    }
  }
}
