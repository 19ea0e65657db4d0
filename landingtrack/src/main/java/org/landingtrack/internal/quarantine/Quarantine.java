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
 * Tracks requests that were in flight at backend servers when these crashed, and quarantines those
 * that may be the cause: a request that was in flight at three crashes is sent to no further
 * server, by any VM. Without a quarantine, one request that its caller sent each second crashed ten
 * engines in eleven seconds and broke twenty requests of others.
 *
 * <p>All requests in flight at a crashed server become suspects, so most suspects are harmless; a
 * suspect that later succeeds is cleared. In QuarantineTest a third of the servers crash within 34
 * seconds, and none of 200,000 harmless requests of half a second each is quarantined.
 *
 * <p>VMs exchange their suspects; merging them is a union of sets. Changes are reported in several
 * rounds, and the other suspects in turn once a second, so that VMs that have just started or were
 * partitioned receive them too. A message has room for 40 suspects of about 45 bytes each. Nothing
 * is reported while there are no suspects. Not thread-safe.
 */
public final class Quarantine {
  /** Number of server crashes after which a request is quarantined. */
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

  /** Order if not all fit: quarantined requests, then those that are due in the most rounds. */
  private static final Comparator<Suspect> REPORT_ORDER =
      Comparator.comparing(Quarantine::hasReachedLimit)
          .thenComparingInt(Suspect::remainingReportRounds)
          .reversed();

  private final Ticker ticker;
  private final Map<RequestDigest, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Integer, Integer> bodyLengths = new HashMap<>();
  private Consumer<Suspicion> listener = suspicion -> {};
  private List<SuspectReport> reportsOfRound = List.of();
  private long round;

  /** Kinds of changes of a suspect. */
  public enum Change {
    /** A server crash was added. */
    CHARGED,
    /** The crashes reached {@link #MAX_CRASHES}: the request is sent to no further server. */
    QUARANTINED,
    /** The request succeeded, so earlier crashes no longer count. */
    CLEARED
  }

  /**
   * A change of a suspect.
   *
   * @param crashCount number of server crashes that count against the request now
   * @param seenHere true if this VM observed the change, false if another VM or the platform's
   *     store reported it
   */
  public record Suspicion(RequestDigest digest, Change change, int crashCount, boolean seenHere) {}

  /** Creates an empty quarantine. */
  public Quarantine(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Adds a listener for all further changes; it is called after those added before it. */
  public void addListener(Consumer<Suspicion> next) {
    listener = listener.andThen(next);
  }

  /**
   * Returns true if there is a suspect with a body of this length. Only then the digest of a
   * request is worth computing.
   */
  public boolean mayContain(int bodyBytes) {
    return bodyLengths.containsKey(bodyBytes);
  }

  /** Returns true if a request is quarantined. */
  public boolean isQuarantined(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect != null && hasReachedLimit(suspect);
  }

  private static boolean hasReachedLimit(Suspect suspect) {
    return suspect.crashCount() >= MAX_CRASHES;
  }

  /** Returns the number of server crashes that count against a request. */
  public int crashCount(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect == null ? 0 : suspect.crashCount();
  }

  /**
   * Returns the time in ms until a suspect expires if there are no further crashes, and 0 for a
   * request that is no suspect.
   */
  public long remainingMs(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect == null ? 0 : suspect.lastCrashMs() + RETENTION_MS - ticker.millis();
  }

  /** Returns the suspect with a digest, or null; removes it if it has expired. */
  private @Nullable Suspect find(RequestDigest digest) {
    Suspect suspect = suspects.get(digest);
    if (suspect != null && ticker.millis() - suspect.lastCrashMs() > RETENTION_MS) {
      remove(suspect);
      return null;
    }
    return suspect;
  }

  /**
   * Records that a server crashed while a request was in flight there.
   *
   * @param incarnation hash of the server's incarnation; each counts once
   */
  public void recordCrash(RequestDigest digest, long incarnation) {
    long now = ticker.millis();
    Suspect suspect = findOrAdd(digest, now);
    int crashesBefore = suspect.crashCount();
    if (suspect.addCrash(incarnation, now)) {
      onChanged(suspect, crashesBefore, true);
    }
  }

  /** Records that a request succeeded, so it does not crash every server that runs it. */
  public void recordSuccess(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect == null) {
      return;
    }
    int crashesBefore = suspect.crashCount();
    if (suspect.clear()) {
      onChanged(suspect, crashesBefore, true);
    }
  }

  /** Merges suspects that another VM or the platform's store reports; expired ones are ignored. */
  public void receive(List<SuspectReport> reports) {
    long now = ticker.millis();
    for (SuspectReport report : reports) {
      if (report.ageMs() > RETENTION_MS || report.ageMs() < 0) {
        continue;
      }
      Suspect suspect = findOrAdd(report.digest(), now - report.ageMs());
      int crashesBefore = suspect.crashCount();
      if (suspect.merge(report, now)) {
        onChanged(suspect, crashesBefore, false);
      }
    }
  }

  private Suspect findOrAdd(RequestDigest digest, long atMs) {
    Suspect known = find(digest);
    if (known != null) {
      return known;
    }
    if (suspects.size() >= MAX_SUSPECTS) {
      evictOne();
    }
    Suspect added = new Suspect(digest, atMs);
    suspects.put(digest, added);
    bodyLengths.merge(digest.bodyBytes(), 1, Integer::sum);
    return added;
  }

  /** Evicts the suspect with the fewest crashes, among those the one whose last crash is oldest. */
  private void evictOne() {
    suspects.values().stream()
        .min(Comparator.comparingInt(Suspect::crashCount).thenComparingLong(Suspect::lastCrashMs))
        .ifPresent(this::remove);
  }

  private void remove(Suspect suspect) {
    suspects.remove(suspect.digest());
    bodyLengths.computeIfPresent(
        suspect.digest().bodyBytes(), (length, count) -> count == 1 ? null : count - 1);
  }

  private void onChanged(Suspect suspect, int crashesBefore, boolean seenHere) {
    int crashes = suspect.crashCount();
    suspect.setReportRounds(crashes > 1 ? REPORT_ROUNDS : REPORT_ROUNDS_FOR_ONE_CRASH);
    Change change = change(crashesBefore, crashes);
    if (change != null) {
      listener.accept(new Suspicion(suspect.digest(), change, crashes, seenHere));
    }
  }

  private static @Nullable Change change(int crashesBefore, int crashes) {
    if (crashes == crashesBefore) {
      return null;
    }
    if (crashes < crashesBefore) {
      return Change.CLEARED;
    }
    return crashesBefore < MAX_CRASHES && crashes >= MAX_CRASHES
        ? Change.QUARANTINED
        : Change.CHARGED;
  }

  /** Begins a round and selects the suspects that it reports, quarantined ones first. */
  public void nextRound() {
    round++;
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
   * Returns all quarantined requests, and those other suspects whose last reminder is the oldest.
   */
  private List<Suspect> reminders() {
    List<Suspect> reminders = new ArrayList<>();
    int others = 0;
    for (Suspect suspect : suspects.values()) {
      if (hasReachedLimit(suspect) || others++ < MAX_REMINDERS) {
        reminders.add(suspect);
      }
    }
    reminders.forEach(this::moveToEnd);
    return reminders;
  }

  /** Moves a suspect to the end, so that the next reminders contain others first. */
  private void moveToEnd(Suspect suspect) {
    suspects.remove(suspect.digest());
    suspects.put(suspect.digest(), suspect);
  }

  /** Returns the reports of this round. */
  public List<SuspectReport> currentReports() {
    return reportsOfRound;
  }

  /**
   * Returns the report of a quarantined request that is not yet in the platform's store, or null if
   * the request is not quarantined or is stored already.
   */
  @Nullable SuspectReport unsavedReport(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect == null || !hasReachedLimit(suspect) || suspect.isSaved()) {
      return null;
    }
    return suspect.toReport(ticker.millis());
  }

  /** Returns the reports of all quarantined requests. */
  List<SuspectReport> quarantinedReports() {
    List<SuspectReport> reports = new ArrayList<>();
    for (Suspect suspect : suspects.values()) {
      if (hasReachedLimit(suspect)) {
        reports.add(suspect.toReport(ticker.millis()));
      }
    }
    return reports;
  }

  /** Records that the platform's store has a request, and reports this to other VMs. */
  void markSaved(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect != null && !suspect.isSaved()) {
      suspect.saved();
      suspect.setReportRounds(REPORT_ROUNDS);
    }
  }
}
