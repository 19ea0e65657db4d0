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
package org.landingtrack.internal.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;
import org.landingtrack.internal.loads.Tally;

/**
 * Simulates VMs before the servers of one service, with limited server capacity and callers that
 * retry once. Load reports of a VM are one to three rounds old. Random numbers are seeded.
 */
final class SimulatedFleet {
  static final String SERVICE = "engines";
  static final int TEAMS = 24;

  /** Server capacity: tokens that servers start in a second. */
  private static final double TOKENS_PER_S = 1_000_000;

  private static final long STEP_MS = 5;
  private static final long ROUND_MS = 100;
  private static final int MAX_REPORT_AGE_ROUNDS = 3;
  private static final long RANK_DELAY_MS = 300;
  private static final long ANSWER_MS = 100;
  private static final long BUSY_SPAN_MS = 500;

  /** A kind of request; {@code share} is its share of all requests. */
  record Kind(int rank, long meanSize, long targetMs, long deadlineMs, double share) {}

  static final List<Kind> KINDS =
      List.of(
          new Kind(0, 2_400, 600, 3_000, 0.35),
          new Kind(1, 900, 600, 10_000, 0.4),
          new Kind(2, 12_000, 1_000, 12_000, 0.25));

  /** A request of a caller with all its attempts. */
  static final class Call {
    final Kind kind;
    final int team;
    final long size;
    final long createdMs;
    long attemptMs;
    boolean hasRetried;
    boolean isRefused;
    boolean admitted;
    long answeredMs = Long.MAX_VALUE;
    private int vm;

    private Call(Kind kind, int team, long size, long firstMs) {
      this.kind = kind;
      this.team = team;
      this.size = size;
      this.createdMs = firstMs;
    }

    boolean isServed() {
      return answeredMs < Long.MAX_VALUE;
    }

    /** Returns true if the answer meets the latency target, counted from the latest attempt. */
    boolean isInTime() {
      return isServed() && answeredMs - attemptMs <= kind.targetMs;
    }

    /** Returns the VM of the latest attempt. */
    int vm() {
      return vm;
    }

    private long endMs() {
      return createdMs + kind.deadlineMs;
    }

    private boolean isLate(long nowMs) {
      return nowMs - attemptMs + ANSWER_MS > kind.targetMs;
    }

    private long queueOrderMs() {
      return attemptMs + kind.rank * RANK_DELAY_MS;
    }
  }

  /** A VM and its load reports of the last rounds, the latest first. */
  private final class Vm implements ServiceLoad {
    final FleetAdmission admission;
    final Deque<List<Tally>> sentReports = new ArrayDeque<>();
    final List<Call> waiting = new ArrayList<>();
    boolean isIsolated;
    private int reportAgeRounds = 1;
    private Map<Long, Tally> receivedTallies = Map.of();

    Vm(long salt) {
      admission = new FleetAdmission(() -> nowMs, salt, this, (service, isShort, part, why) -> {});
      admission.peerTallies(() -> isIsolated ? Map.of() : receivedTallies);
    }

    void receiveReports() {
      reportAgeRounds = 1 + random.nextInt(MAX_REPORT_AGE_ROUNDS);
      receivedTallies = new HashMap<>(sums.get(Math.min(reportAgeRounds, sums.size()) - 1));
      List<Tally> own =
          sentReports.stream()
              .skip(Math.min(reportAgeRounds, sentReports.size()) - 1L)
              .findFirst()
              .get();
      for (Tally each : own) {
        receivedTallies.computeIfPresent(each.key(), (key, sum) -> minus(sum, each));
      }
    }

    @Override
    public long targetMs(String service) {
      return 600;
    }

    @Override
    public long queuedSize(String service, int rank) {
      return totalSize(call -> call.kind.rank == rank && !call.isLate(nowMs));
    }

    @Override
    public long lateSize(String service) {
      return totalSize(call -> call.isLate(nowMs));
    }

    private long totalSize(Predicate<Call> which) {
      long sum = 0;
      for (Call call : waiting) {
        sum += which.test(call) ? call.size : 0;
      }
      return sum;
    }

    @Override
    public double utilization(String service) {
      return busyMs() / BUSY_SPAN_MS;
    }
  }

  final List<Call> calls = new ArrayList<>();

  /** Available server capacity as a share of full capacity. */
  double serverCapacity = 1;

  /** Whether refused callers retry, once. */
  boolean callersRetry = true;

  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Map<Long, Tally>> sums = new ArrayList<>();
  private final List<Call> waiting = new ArrayList<>();
  private final PriorityQueue<Call> pendingRetries =
      new PriorityQueue<>(Comparator.comparingLong((Call call) -> call.attemptMs));
  private final Deque<Double> busyTimesMs = new ArrayDeque<>();
  private final double[] teamShares;
  private long nowMs = 1_000_000;
  private double tokenCredit;
  private long ids;

  /** Creates a fleet; {@code teamShares} are the teams' shares of all requests. */
  SimulatedFleet(int vmCount, double[] teamShares, long seed) {
    this.random = new Random(seed);
    this.teamShares = teamShares.clone();
    for (int i = 0; i < vmCount; i++) {
      vms.add(new Vm(random.nextLong()));
    }
  }

  /** Returns equal shares for all teams but the first, which asks for as much as ten others. */
  static double[] oneLargeTeam() {
    double[] shares = new double[TEAMS];
    for (int i = 0; i < TEAMS; i++) {
      shares[i] = (i == 0 ? 10.0 : 1.0) / (TEAMS + 9);
    }
    return shares;
  }

  private static Tally minus(Tally sum, Tally own) {
    long[] rest = new long[Demand.SIZE];
    for (int i = 0; i < rest.length; i++) {
      rest[i] = Math.max(0, sum.count(i) - own.count(i));
    }
    return new Tally(sum.key(), rest);
  }

  long now() {
    return nowMs;
  }

  /** Isolates the last VM, so that it neither sends nor receives load reports. */
  void isolateLastVm() {
    vms.get(vms.size() - 1).isIsolated = true;
  }

  /** Cancels the retries of callers refused so far. */
  void cancelRetries() {
    pendingRetries.clear();
  }

  /** Returns true if a VM still refuses requests. */
  boolean isAnyRefusing() {
    return vms.stream().anyMatch(vm -> vm.admission.leastAdmittedShare() < 1);
  }

  /** Runs the simulation on with a demand of {@code load} times the servers' capacity. */
  void run(long forMs, double load) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      if (nowMs % ROUND_MS == 0) {
        exchangeReports();
      }
      sendFirstAttempts(load);
      while (!pendingRetries.isEmpty() && pendingRetries.peek().attemptMs <= nowMs) {
        attempt(pendingRetries.remove());
      }
      serve();
    }
  }

  private void exchangeReports() {
    Map<Long, long[]> sum = new HashMap<>();
    for (Vm vm : vms) {
      List<Tally> own = vm.admission.tallies();
      vm.sentReports.addFirst(vm.isIsolated ? List.of() : own);
      if (vm.sentReports.size() > MAX_REPORT_AGE_ROUNDS) {
        vm.sentReports.removeLast();
      }
      for (Tally each : vm.sentReports.getFirst()) {
        long[] counts = sum.computeIfAbsent(each.key(), key -> new long[Demand.SIZE]);
        for (int i = 0; i < counts.length; i++) {
          counts[i] += each.count(i);
        }
      }
    }
    Map<Long, Tally> reports = new HashMap<>();
    sum.forEach((key, counts) -> reports.put(key, new Tally(key, counts)));
    sums.add(0, reports);
    vms.forEach(Vm::receiveReports);
  }

  private void sendFirstAttempts(double load) {
    double perMs = load * TOKENS_PER_S / 1_000 / meanTokens();
    double remaining = perMs * STEP_MS;
    while (random.nextDouble() < remaining) {
      remaining--;
      Kind kind = KINDS.get(draw(KINDS.stream().mapToDouble(Kind::share).toArray()));
      long size = Math.max(1, (long) (kind.meanSize * (0.5 + random.nextDouble())));
      attempt(register(new Call(kind, draw(teamShares), size, nowMs)));
    }
  }

  private Call register(Call call) {
    call.attemptMs = nowMs;
    calls.add(call);
    return call;
  }

  private static double meanTokens() {
    double mean = 0;
    for (Kind kind : KINDS) {
      mean += kind.share * kind.meanSize;
    }
    return mean;
  }

  private int draw(double[] shares) {
    double drawn = random.nextDouble();
    for (int i = 0; i < shares.length - 1; i++) {
      drawn -= shares[i];
      if (drawn < 0) {
        return i;
      }
    }
    return shares.length - 1;
  }

  private void attempt(Call call) {
    call.vm = random.nextInt(vms.size());
    Vm vm = vms.get(call.vm);
    long leftMs = call.endMs() - nowMs;
    AdmissionDecision verdict =
        vm.admission.decide(
            new AdmissionRequest(
                "id-" + ids++,
                SERVICE,
                "route-" + call.kind.rank,
                "team-" + call.team,
                call.kind.rank,
                call.size,
                leftMs,
                leftMs));
    if (verdict.isAdmitted()) {
      call.admitted = true;
      waiting.add(call);
      vm.waiting.add(call);
    } else {
      call.isRefused = true;
      scheduleRetry(call, verdict.retryAfterMs());
    }
  }

  private void scheduleRetry(Call call, long afterMs) {
    if (callersRetry && !call.hasRetried && nowMs + afterMs < call.endMs()) {
      call.hasRetried = true;
      call.attemptMs = nowMs + afterMs;
      pendingRetries.add(call);
    }
  }

  private void serve() {
    waiting.removeIf(call -> call.endMs() - ANSWER_MS < nowMs && dequeue(call));
    tokenCredit = Math.min(0, tokenCredit) + TOKENS_PER_S / 1_000 * STEP_MS * serverCapacity;
    double before = tokenCredit;
    waiting.sort(
        Comparator.comparing((Call call) -> call.isLate(nowMs))
            .thenComparingLong(Call::queueOrderMs));
    int begun = 0;
    while (tokenCredit > 0 && begun < waiting.size()) {
      Call call = waiting.get(begun++);
      tokenCredit -= call.size;
      call.answeredMs = nowMs + ANSWER_MS;
      dequeue(call);
      vms.get(call.vm).admission.recordStart(SERVICE, call.size);
    }
    waiting.subList(0, begun).clear();
    busyTimesMs.addLast(tokenCredit <= 0 ? STEP_MS : STEP_MS * (1 - tokenCredit / before));
    if (busyTimesMs.size() > BUSY_SPAN_MS / STEP_MS) {
      busyTimesMs.removeFirst();
    }
  }

  private boolean dequeue(Call call) {
    return vms.get(call.vm).waiting.remove(call);
  }

  private double busyMs() {
    return busyTimesMs.stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the share of all calls that match. */
  double shareOf(Predicate<Call> what) {
    return shareOf(call -> true, what);
  }

  /** Returns the share of the calls selected by {@code of} that match {@code what}. */
  double shareOf(Predicate<Call> of, Predicate<Call> what) {
    long all = calls.stream().filter(of).count();
    return (double) calls.stream().filter(of.and(what)).count() / Math.max(1, all);
  }

  /** Returns the tokens of requests that arrived between two times and were answered in time. */
  long tokensInTime(long fromMs, long untilMs) {
    return calls.stream()
        .filter(call -> call.createdMs >= fromMs && call.createdMs < untilMs && call.isInTime())
        .mapToLong(call -> call.size)
        .sum();
  }
}
