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
package org.landingtrack.internal.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.Ticker;

/**
 * Tracks requests, and parts of their prompts, that were in flight at backend servers when these
 * crashed, and quarantines those that are the likely cause: no VM sends them to a further server.
 * Without a quarantine, a request that its caller sends each second crashes server after server,
 * and so do requests that have only one prompt part in common.
 *
 * <p>All that was in flight at a crashed server becomes a suspect, so most suspects are harmless; a
 * suspect that later ends well is cleared. {@link CrashAttribution} decides which of the others are
 * to blame.
 *
 * <p>VMs exchange their suspects; merging them is a union of sets. Changes are reported in several
 * rounds, and the other suspects in turn once a second, so that VMs that have just started or were
 * partitioned receive them too. A message has room for 40 suspects of about 45 bytes each. Nothing
 * is reported while there are no suspects. Not thread-safe.
 */
public final class Quarantine {
  /** Number of server crashes after which a request or prompt part is quarantined. */
  public static final int MAX_CRASHES = 3;

  /** How long a suspect is kept after its last crash; the servers may have been fixed by then. */
  static final long RETENTION_MS = 3_600_000;

  /** Maximum number of suspects: 64 from each of 30 crashed servers, which take half a megabyte. */
  static final int MAX_SUSPECTS = 2_000;

  /** Rounds in which a change is reported. On bad links one datagram in thirty is lost. */
  private static final int REPORT_ROUNDS = 10;

  /**
   * Rounds in which a suspect with a single crash is reported. Most of these are suspects by
   * chance, and there are many of them when many servers crash together.
   */
  private static final int REPORT_ROUNDS_FOR_ONE_CRASH = 3;

  /** Rounds between reminders: reports of suspects that have not changed. */
  private static final int REMINDER_INTERVAL_ROUNDS = 10;

  /** Maximum number of suspects in one report. */
  static final int MAX_REPORTED = 40;

  /** Maximum number of suspects that are not quarantined in one round of reminders. */
  private static final int MAX_REMINDERS = 10;

  /** Order if not all fit: quarantined ones, then those that are due in the most rounds. */
  private static final Comparator<Suspect> REPORT_ORDER =
      Comparator.comparing(Suspect::isBlamed)
          .thenComparingInt(Suspect::remainingReportRounds)
          .reversed();

  private final Ticker ticker;
  private final Map<SuspectKey, Suspect> suspects = new LinkedHashMap<>();

  /** Number of suspects by the length of the request's body; prompt parts have one of their own. */
  private final Map<Integer, Integer> suspectsByBodyBytes = new HashMap<>();

  private Consumer<Suspicion> listener = suspicion -> {};
  private List<SuspectReport> reportsOfRound = List.of();
  private long round;

  /** When suspects that share a recent crash with others are next judged without new evidence. */
  private long settledAtMs = Long.MAX_VALUE;

  /** Kinds of changes of a suspect. */
  public enum Change {
    /** A server crash was added. */
    CHARGED,
    /** The suspect is blamed for its crashes: it is sent to no further server. */
    QUARANTINED,
    /** Another suspect turned out to explain the crashes, so this one is sent again. */
    RELEASED,
    /** A request ended well, so earlier crashes no longer count. */
    CLEARED
  }

  /**
   * A change of a suspect.
   *
   * @param crashCount number of server crashes that count against the suspect now
   * @param seenHere true if this VM observed the change, false if another VM or the platform's
   *     store reported it
   */
  public record Suspicion(SuspectKey key, Change change, int crashCount, boolean seenHere) {}

  /** Creates an empty quarantine. */
  public Quarantine(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Adds a listener for all further changes; it is called after those added before it. */
  public void addListener(Consumer<Suspicion> next) {
    listener = listener.andThen(next);
  }

  /**
   * Returns true if there is a suspect with a body of this length. Only then the key of a request
   * is worth computing.
   */
  public boolean mayContain(int bodyBytes) {
    return suspectsByBodyBytes.containsKey(bodyBytes);
  }

  /** Returns true if some prompt part is a suspect. */
  public boolean mayContainPromptParts() {
    return suspectsByBodyBytes.containsKey(SuspectKey.PROMPT_PART);
  }

  /** Returns true if a request or prompt part is quarantined. */
  public boolean isQuarantined(SuspectKey key) {
    attributeSettledCrashes();
    Suspect suspect = find(key);
    return suspect != null && suspect.isBlamed();
  }

  /** Returns the number of server crashes that count against a request or prompt part. */
  public int crashCount(SuspectKey key) {
    Suspect suspect = find(key);
    return suspect == null ? 0 : suspect.crashCount();
  }

  /** Returns true if one more server crash may quarantine a request or prompt part. */
  public boolean isNearLimit(SuspectKey key) {
    Suspect suspect = find(key);
    return suspect != null && !suspect.servedBefore() && suspect.crashCount() >= MAX_CRASHES - 1;
  }

  /**
   * Returns the time in ms until a suspect expires if there are no further crashes, and 0 for what
   * is no suspect.
   */
  public long remainingMs(SuspectKey key) {
    Suspect suspect = find(key);
    return suspect == null ? 0 : suspect.lastCrashMs() + RETENTION_MS - ticker.millis();
  }

  /** Returns the suspect with a key, or null; removes it if it has expired. */
  private @Nullable Suspect find(SuspectKey key) {
    Suspect suspect = suspects.get(key);
    if (suspect != null && ticker.millis() - suspect.lastCrashMs() > RETENTION_MS) {
      remove(suspect);
      return null;
    }
    return suspect;
  }

  /**
   * Records that a server crashed while requests were in flight there.
   *
   * @param charges the requests and the parts of their prompts
   * @param incarnation hash of the server's incarnation; each counts once
   */
  public void recordCrash(Collection<Charge> charges, long incarnation) {
    long now = ticker.millis();
    Map<Suspect, Integer> crashesBefore = new LinkedHashMap<>();
    for (Charge charge : charges) {
      Suspect suspect = findOrAdd(charge, now);
      int before = suspect.crashCount();
      if (suspect.addCrash(charge, incarnation, now)) {
        crashesBefore.putIfAbsent(suspect, before);
      }
    }
    onChanged(crashesBefore, true);
  }

  /** Records that a request ended well, so neither it nor its prompt crashes all servers. */
  public void recordSuccess(Collection<SuspectKey> keys) {
    Map<Suspect, Integer> crashesBefore = new LinkedHashMap<>();
    for (SuspectKey key : keys) {
      Suspect suspect = find(key);
      int before = suspect == null ? 0 : suspect.crashCount();
      if (suspect != null && suspect.clear()) {
        crashesBefore.put(suspect, before);
      }
    }
    onChanged(crashesBefore, true);
  }

  /** Merges suspects that another VM or the platform's store reports; expired ones are ignored. */
  public void receive(List<SuspectReport> reports) {
    long now = ticker.millis();
    Map<Suspect, Integer> crashesBefore = new LinkedHashMap<>();
    for (SuspectReport report : reports) {
      if (report.ageMs() > RETENTION_MS || report.ageMs() < 0) {
        continue;
      }
      Suspect suspect = findOrAdd(report.charge(), now - report.ageMs());
      int before = suspect.crashCount();
      if (suspect.merge(report, now)) {
        crashesBefore.putIfAbsent(suspect, before);
      }
    }
    onChanged(crashesBefore, false);
  }

  private Suspect findOrAdd(Charge charge, long atMs) {
    Suspect known = find(charge.key());
    if (known != null) {
      return known;
    }
    if (suspects.size() >= MAX_SUSPECTS) {
      evictOne();
    }
    Suspect added = new Suspect(charge, atMs);
    suspects.put(charge.key(), added);
    suspectsByBodyBytes.merge(charge.key().bodyBytes(), 1, Integer::sum);
    return added;
  }

  /** Evicts the suspect with the fewest crashes, among those the one whose last crash is oldest. */
  private void evictOne() {
    suspects.values().stream()
        .min(Comparator.comparingInt(Suspect::crashCount).thenComparingLong(Suspect::lastCrashMs))
        .ifPresent(this::remove);
  }

  private void remove(Suspect suspect) {
    suspects.remove(suspect.key());
    suspectsByBodyBytes.computeIfPresent(
        suspect.key().bodyBytes(), (length, count) -> count == 1 ? null : count - 1);
  }

  /**
   * Decides again which suspects are to blame, and reports what changed.
   *
   * @param crashesBefore the changed suspects, with the number of their crashes before
   */
  private void onChanged(Map<Suspect, Integer> crashesBefore, boolean seenHere) {
    if (!crashesBefore.isEmpty()) {
      attributeCrashes(crashesBefore, seenHere);
    }
  }

  /** Decides again which suspects are to blame, if time alone may have changed that. */
  private void attributeSettledCrashes() {
    if (ticker.millis() >= settledAtMs) {
      attributeCrashes(Map.of(), false);
    }
  }

  private void attributeCrashes(Map<Suspect, Integer> crashesBefore, boolean seenHere) {
    long now = ticker.millis();
    settledAtMs = Long.MAX_VALUE;
    Set<Suspect> blamed = CrashAttribution.blamed(suspects.values(), now);
    List<Suspicion> changes = new ArrayList<>();
    for (Suspect suspect : suspects.values()) {
      if (CrashAttribution.isSettling(suspect, now)) {
        settledAtMs = now + CrashAttribution.SETTLE_MS;
      }
      boolean isBlamed = blamed.contains(suspect);
      Integer before = crashesBefore.get(suspect);
      if (before != null || suspect.isBlamed() != isBlamed) {
        int crashes = suspect.crashCount();
        Change change = change(suspect, isBlamed, before == null ? crashes : before);
        suspect.setBlamed(isBlamed);
        suspect.setReportRounds(crashes > 1 ? REPORT_ROUNDS : REPORT_ROUNDS_FOR_ONE_CRASH);
        if (change != null) {
          changes.add(new Suspicion(suspect.key(), change, crashes, seenHere));
        }
      }
    }
    changes.forEach(listener);
  }

  private static @Nullable Change change(Suspect suspect, boolean isBlamed, int crashesBefore) {
    int crashes = suspect.crashCount();
    if (isBlamed && !suspect.isBlamed()) {
      return Change.QUARANTINED;
    }
    if (crashes < crashesBefore) {
      return Change.CLEARED;
    }
    if (suspect.isBlamed() && !isBlamed) {
      return Change.RELEASED;
    }
    return crashes > crashesBefore ? Change.CHARGED : null;
  }

  /** Begins a round and selects the suspects that it reports, quarantined ones first. */
  public void nextRound() {
    round++;
    attributeSettledCrashes();
    if (suspects.isEmpty()) {
      reportsOfRound = List.of();
      return;
    }
    Set<Suspect> due = new LinkedHashSet<>();
    for (Suspect suspect : suspects.values()) {
      if (suspect.remainingReportRounds() > 0) {
        due.add(suspect);
      }
    }
    if (round % REMINDER_INTERVAL_ROUNDS == 0) {
      removeExpired();
      due.addAll(reminders());
    }
    List<Suspect> chosen = new ArrayList<>(due);
    chosen.sort(REPORT_ORDER);
    long now = ticker.millis();
    List<SuspectReport> reports = new ArrayList<>();
    for (Suspect suspect : chosen.subList(0, Math.min(MAX_REPORTED, chosen.size()))) {
      reports.add(suspect.toReport(now));
      suspect.setReportRounds(Math.max(0, suspect.remainingReportRounds() - 1));
    }
    reportsOfRound = reports;
  }

  private void removeExpired() {
    List.copyOf(suspects.keySet()).forEach(this::find);
  }

  /**
   * Returns all quarantined suspects, and those other suspects whose last reminder is the oldest.
   */
  private List<Suspect> reminders() {
    List<Suspect> reminders = new ArrayList<>();
    int others = 0;
    for (Suspect suspect : suspects.values()) {
      if (suspect.isBlamed() || others++ < MAX_REMINDERS) {
        reminders.add(suspect);
      }
    }
    reminders.forEach(this::moveToEnd);
    return reminders;
  }

  /** Moves a suspect to the end, so that the next reminders contain others first. */
  private void moveToEnd(Suspect suspect) {
    suspects.remove(suspect.key());
    suspects.put(suspect.key(), suspect);
  }

  /** Returns the reports of this round. */
  public List<SuspectReport> currentReports() {
    return reportsOfRound;
  }

  /** Returns the report of a quarantined suspect, or null if it is not quarantined. */
  @Nullable SuspectReport quarantinedReport(SuspectKey key) {
    Suspect suspect = find(key);
    return suspect == null || !suspect.isBlamed() ? null : suspect.toReport(ticker.millis());
  }

  /** Returns true if the platform's store has a suspect. */
  boolean isSaved(SuspectKey key) {
    Suspect suspect = find(key);
    return suspect != null && suspect.isSaved();
  }

  /** Returns the reports of all quarantined suspects. */
  List<SuspectReport> quarantinedReports() {
    List<SuspectReport> reports = new ArrayList<>();
    for (Suspect suspect : suspects.values()) {
      if (suspect.isBlamed()) {
        reports.add(suspect.toReport(ticker.millis()));
      }
    }
    return reports;
  }

  /** Records that the platform's store has a suspect, and reports this to other VMs. */
  void markSaved(SuspectKey key) {
    Suspect suspect = find(key);
    if (suspect != null && !suspect.isSaved()) {
      suspect.saved();
      suspect.setReportRounds(REPORT_ROUNDS);
    }
  }
}
