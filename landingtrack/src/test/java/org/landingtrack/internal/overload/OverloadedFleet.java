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
final class OverloadedFleet {
  static final String SERVICE = "engines";
  static final int TEAMS = 24;

  /** Server capacity: tokens that servers start in a second. */
  private static final double TOKENS_PER_S = 1_000_000;

  private static final long STEP_MS = 5;
  private static final long ROUND_MS = 100;
  private static final int MOST_ROUNDS_OLD = 3;
  private static final long RANK_MS = 300;
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
    final long firstMs;
    long triedMs;
    boolean cameBack;
    boolean isRefused;
    boolean admitted;
    long answeredMs = Long.MAX_VALUE;
    private int vm;

    private Call(Kind kind, int team, long size, long firstMs) {
      this.kind = kind;
      this.team = team;
      this.size = size;
      this.firstMs = firstMs;
    }

    boolean isServed() {
      return answeredMs < Long.MAX_VALUE;
    }

    /** Returns true if the answer meets the latency target, counted from the latest attempt. */
    boolean isInTime() {
      return isServed() && answeredMs - triedMs <= kind.targetMs;
    }

    /** Returns the VM of the latest attempt. */
    int vm() {
      return vm;
    }

    private long endMs() {
      return firstMs + kind.deadlineMs;
    }

    private boolean isLate(long nowMs) {
      return nowMs - triedMs + ANSWER_MS > kind.targetMs;
    }

    private long turnMs() {
      return triedMs + kind.rank * RANK_MS;
    }
  }

  /** A VM and its load reports of the last rounds, the latest first. */
  private final class Vm implements ServiceView {
    final FleetAdmission admission;
    final Deque<List<Tally>> told = new ArrayDeque<>();
    final List<Call> waiting = new ArrayList<>();
    boolean isCut;
    private int roundsOld = 1;
    private Map<Long, Tally> heard = Map.of();

    Vm(long salt) {
      admission = new FleetAdmission(() -> nowMs, salt, this, (service, isShort, part, why) -> {});
      admission.others(() -> isCut ? Map.of() : heard);
    }

    void hear() {
      roundsOld = 1 + random.nextInt(MOST_ROUNDS_OLD);
      heard = new HashMap<>(sums.get(Math.min(roundsOld, sums.size()) - 1));
      List<Tally> own = told.stream().skip(Math.min(roundsOld, told.size()) - 1L).findFirst().get();
      for (Tally each : own) {
        heard.computeIfPresent(each.key(), (key, sum) -> minus(sum, each));
      }
    }

    @Override
    public long targetMs(String service) {
      return 600;
    }

    @Override
    public long waiting(String service, int rank) {
      return sizes(call -> call.kind.rank == rank && !call.isLate(nowMs));
    }

    @Override
    public long late(String service) {
      return sizes(call -> call.isLate(nowMs));
    }

    private long sizes(Predicate<Call> which) {
      long sum = 0;
      for (Call call : waiting) {
        sum += which.test(call) ? call.size : 0;
      }
      return sum;
    }

    @Override
    public double takenShare(String service) {
      return busyMs() / BUSY_SPAN_MS;
    }
  }

  final List<Call> calls = new ArrayList<>();

  /** Available server capacity as a share of full capacity. */
  double servers = 1;

  /** Whether refused callers retry, once. */
  boolean callersReturn = true;

  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Map<Long, Tally>> sums = new ArrayList<>();
  private final List<Call> waiting = new ArrayList<>();
  private final PriorityQueue<Call> comingBack =
      new PriorityQueue<>(Comparator.comparingLong((Call call) -> call.triedMs));
  private final Deque<Double> busy = new ArrayDeque<>();
  private final double[] teamShares;
  private long nowMs = 1_000_000;
  private double owedTokens;
  private long ids;

  /** Creates a fleet; {@code teamShares} are the teams' shares of all requests. */
  OverloadedFleet(int vmCount, double[] teamShares, long seed) {
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
  void cutOne() {
    vms.get(vms.size() - 1).isCut = true;
  }

  /** Cancels the retries of callers refused so far. */
  void forgetReturning() {
    comingBack.clear();
  }

  /** Returns true if a VM still refuses requests. */
  boolean isAnyShort() {
    return vms.stream().anyMatch(vm -> vm.admission.leastPart() < 1);
  }

  /** Runs the simulation on with a demand of {@code load} times the servers' capacity. */
  void play(long forMs, double load) {
    long endMs = nowMs + forMs;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      if (nowMs % ROUND_MS == 0) {
        tellNews();
      }
      callAnew(load);
      while (!comingBack.isEmpty() && comingBack.peek().triedMs <= nowMs) {
        attempt(comingBack.remove());
      }
      serve();
    }
  }

  private void tellNews() {
    Map<Long, long[]> sum = new HashMap<>();
    for (Vm vm : vms) {
      List<Tally> own = vm.admission.tallies();
      vm.told.addFirst(vm.isCut ? List.of() : own);
      if (vm.told.size() > MOST_ROUNDS_OLD) {
        vm.told.removeLast();
      }
      for (Tally each : vm.told.getFirst()) {
        long[] counts = sum.computeIfAbsent(each.key(), key -> new long[Demand.SIZE]);
        for (int i = 0; i < counts.length; i++) {
          counts[i] += each.count(i);
        }
      }
    }
    Map<Long, Tally> reports = new HashMap<>();
    sum.forEach((key, counts) -> reports.put(key, new Tally(key, counts)));
    sums.add(0, reports);
    vms.forEach(Vm::hear);
  }

  private void callAnew(double load) {
    double perMs = load * TOKENS_PER_S / 1_000 / meanTokens();
    double remaining = perMs * STEP_MS;
    while (random.nextDouble() < remaining) {
      remaining--;
      Kind kind = KINDS.get(draw(KINDS.stream().mapToDouble(Kind::share).toArray()));
      long size = Math.max(1, (long) (kind.meanSize * (0.5 + random.nextDouble())));
      attempt(begin(new Call(kind, draw(teamShares), size, nowMs)));
    }
  }

  private Call begin(Call call) {
    call.triedMs = nowMs;
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
    Verdict verdict =
        vm.admission.decide(
            new Applicant(
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
      comeBack(call, verdict.retryAfterMs());
    }
  }

  private void comeBack(Call call, long afterMs) {
    if (callersReturn && !call.cameBack && nowMs + afterMs < call.endMs()) {
      call.cameBack = true;
      call.triedMs = nowMs + afterMs;
      comingBack.add(call);
    }
  }

  private void serve() {
    waiting.removeIf(call -> call.endMs() - ANSWER_MS < nowMs && stopWaiting(call));
    owedTokens = Math.min(0, owedTokens) + TOKENS_PER_S / 1_000 * STEP_MS * servers;
    double before = owedTokens;
    waiting.sort(
        Comparator.comparing((Call call) -> call.isLate(nowMs)).thenComparingLong(Call::turnMs));
    int begun = 0;
    while (owedTokens > 0 && begun < waiting.size()) {
      Call call = waiting.get(begun++);
      owedTokens -= call.size;
      call.answeredMs = nowMs + ANSWER_MS;
      stopWaiting(call);
      vms.get(call.vm).admission.began(SERVICE, call.size);
    }
    waiting.subList(0, begun).clear();
    busy.addLast(owedTokens <= 0 ? STEP_MS : STEP_MS * (1 - owedTokens / before));
    if (busy.size() > BUSY_SPAN_MS / STEP_MS) {
      busy.removeFirst();
    }
  }

  private boolean stopWaiting(Call call) {
    return vms.get(call.vm).waiting.remove(call);
  }

  private double busyMs() {
    return busy.stream().mapToDouble(Double::doubleValue).sum();
  }

  /** Returns the share of all calls that match. */
  double part(Predicate<Call> what) {
    return part(call -> true, what);
  }

  /** Returns the share of the calls selected by {@code of} that match {@code what}. */
  double part(Predicate<Call> of, Predicate<Call> what) {
    long all = calls.stream().filter(of).count();
    return (double) calls.stream().filter(of.and(what)).count() / Math.max(1, all);
  }

  /** Returns the tokens of requests that arrived between two times and were answered in time. */
  long tokensInTime(long fromMs, long untilMs) {
    return calls.stream()
        .filter(call -> call.firstMs >= fromMs && call.firstMs < untilMs && call.isInTime())
        .mapToLong(call -> call.size)
        .sum();
  }
}
