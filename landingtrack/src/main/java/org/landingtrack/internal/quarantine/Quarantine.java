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
 * Requests under which backend servers ended. One that three of them ended under gets no further
 * server, on any VM: without that, one request that its caller sent each second ended ten engines
 * in eleven seconds, and broke off twenty requests of others.
 *
 * <p>A server ends under all that it has, so most of what is kept here is innocent: what ends well
 * afterwards is cleared. Of requests that last half a second each, on a day on which a third of the
 * servers end, none of 200,000 met three ends (QuarantineTest).
 *
 * <p>VMs tell each other what they know, all of which is a union of sets. What is new is told for
 * some rounds of news, the rest in turn once a second, so that VMs that started or were cut off
 * hear it as well. A message has room for 40 requests of some 45 bytes; nothing is told while no
 * server ended. Not thread-safe.
 */
public final class Quarantine {
  /** Ends of servers after which a request gets no further one. */
  public static final int MAX_ENDS = 3;

  /** How long after its last end a request is remembered; a server may have been mended by then. */
  static final long KEPT_MS = 3_600_000;

  /** Requests that are remembered; 64 of each of thirty servers that ended, in half a megabyte. */
  static final int MAX_SUSPECTS = 2_000;

  /**
   * Rounds in which a change is told. A datagram in thirty is lost on bad links; what a request is
   * blamed for once is mostly chance, and there is much of it where many servers end together.
   */
  private static final int TOLD_ROUNDS = 10;

  private static final int TOLD_ROUNDS_OF_ONE_END = 3;

  private static final int REMIND_EVERY_ROUNDS = 10;

  /** Suspects in one round of news, and in one that only reminds. */
  static final int MAX_TOLD = 40;

  private static final int REMINDED = 10;

  /** Where not all fits, those that were told in the fewest rounds come first. */
  private static final Comparator<Suspect> TOLD_FIRST =
      Comparator.comparing(Quarantine::isHeld).thenComparingInt(Suspect::roundsToTell).reversed();

  private final Ticker ticker;
  private final Map<RequestDigest, Suspect> suspects = new LinkedHashMap<>();
  private final Map<Integer, Integer> bodyLengths = new HashMap<>();
  private Consumer<Suspicion> listener = suspicion -> {};
  private List<SuspectNews> told = List.of();
  private long round;

  /** What changed of a request that is blamed for ends of servers. */
  public enum Change {
    /** It was blamed for one more. */
    CHARGED,
    /** It was blamed for the last one that it needed: it gets no further server. */
    QUARANTINED,
    /** It ended well and is blamed for nothing any more. */
    CLEARED
  }

  /**
   * A change of what is known of a request.
   *
   * @param ends servers that it is blamed for now
   * @param seenHere true if this VM saw it, false if another one told it
   */
  public record Suspicion(RequestDigest digest, Change change, int ends, boolean seenHere) {}

  /** Creates an empty quarantine. */
  public Quarantine(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Tells {@code next} of each change from now on, after whoever listens already. */
  public void onChange(Consumer<Suspicion> next) {
    listener = listener.andThen(next);
  }

  /**
   * Returns true if a request with such a body may be known here; only then it is worth its digest.
   */
  public boolean mayKnow(int bodyBytes) {
    return bodyLengths.containsKey(bodyBytes);
  }

  /** Returns true if a request gets no further server. */
  public boolean holds(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect != null && isHeld(suspect);
  }

  private static boolean isHeld(Suspect suspect) {
    return suspect.blamedFor() >= MAX_ENDS;
  }

  /** Returns how many servers a request is blamed for. */
  public int ends(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect == null ? 0 : suspect.blamedFor();
  }

  /** Returns after how long a request is forgotten if no more servers end under it. */
  public long leftMs(RequestDigest digest) {
    Suspect suspect = find(digest);
    return suspect == null ? 0 : suspect.lastMs() + KEPT_MS - ticker.millis();
  }

  /** Returns what is known of a request; forgets it if that is too old. */
  private @Nullable Suspect find(RequestDigest digest) {
    Suspect suspect = suspects.get(digest);
    if (suspect != null && ticker.millis() - suspect.lastMs() > KEPT_MS) {
      forget(suspect);
      return null;
    }
    return suspect;
  }

  /** Notes that a start of a server ended under a request. */
  public void charge(RequestDigest digest, long start) {
    long now = ticker.millis();
    Suspect suspect = findOrAdd(digest, now);
    int before = suspect.blamedFor();
    if (suspect.charge(start, now)) {
      changed(suspect, before, true);
    }
  }

  /** Notes that a request ended well: it does not end whatever server begins it. */
  public void endedWell(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect == null) {
      return;
    }
    int before = suspect.blamedFor();
    if (suspect.clear()) {
      changed(suspect, before, true);
    }
  }

  /** Takes what another VM or the platform's store knows. */
  public void heard(List<SuspectNews> news) {
    long now = ticker.millis();
    for (SuspectNews each : news) {
      if (each.agoMs() > KEPT_MS || each.agoMs() < 0) {
        continue;
      }
      Suspect suspect = findOrAdd(each.digest(), now - each.agoMs());
      int before = suspect.blamedFor();
      if (suspect.join(each, now)) {
        changed(suspect, before, false);
      }
    }
  }

  private Suspect findOrAdd(RequestDigest digest, long atMs) {
    Suspect known = find(digest);
    if (known != null) {
      return known;
    }
    if (suspects.size() >= MAX_SUSPECTS) {
      forgetLeast();
    }
    Suspect added = new Suspect(digest, atMs);
    suspects.put(digest, added);
    bodyLengths.merge(digest.bodyBytes(), 1, Integer::sum);
    return added;
  }

  /** Makes room: what is blamed for least goes first, of those what was blamed longest ago. */
  private void forgetLeast() {
    suspects.values().stream()
        .min(Comparator.comparingInt(Suspect::blamedFor).thenComparingLong(Suspect::lastMs))
        .ifPresent(this::forget);
  }

  private void forget(Suspect suspect) {
    suspects.remove(suspect.digest());
    bodyLengths.computeIfPresent(
        suspect.digest().bodyBytes(), (length, count) -> count == 1 ? null : count - 1);
  }

  private void changed(Suspect suspect, int before, boolean seenHere) {
    int ends = suspect.blamedFor();
    suspect.tellFor(ends > 1 ? TOLD_ROUNDS : TOLD_ROUNDS_OF_ONE_END);
    Change change = change(before, ends);
    if (change != null) {
      listener.accept(new Suspicion(suspect.digest(), change, ends, seenHere));
    }
  }

  private static @Nullable Change change(int before, int ends) {
    if (ends == before) {
      return null;
    }
    if (ends < before) {
      return Change.CLEARED;
    }
    return before < MAX_ENDS && ends >= MAX_ENDS ? Change.QUARANTINED : Change.CHARGED;
  }

  /** Begins a round of news: chooses what is told in it, the quarantined ones first. */
  public void nextRound() {
    round++;
    if (suspects.isEmpty()) {
      told = List.of();
      return;
    }
    Set<Suspect> due = new LinkedHashSet<>();
    for (Suspect suspect : suspects.values()) {
      if (suspect.roundsToTell() > 0) {
        due.add(suspect);
      }
    }
    if (round % REMIND_EVERY_ROUNDS == 0) {
      forgetOld();
      due.addAll(reminders());
    }
    List<Suspect> chosen = new ArrayList<>(due);
    chosen.sort(TOLD_FIRST);
    long now = ticker.millis();
    List<SuspectNews> news = new ArrayList<>();
    for (Suspect suspect : chosen.subList(0, Math.min(MAX_TOLD, chosen.size()))) {
      news.add(suspect.news(now));
      suspect.tellFor(Math.max(0, suspect.roundsToTell() - 1));
    }
    told = news;
  }

  private void forgetOld() {
    List.copyOf(suspects.keySet()).forEach(this::find);
  }

  /** Returns the quarantined requests, and some others that were not told for longest. */
  private List<Suspect> reminders() {
    List<Suspect> reminded = new ArrayList<>();
    int others = 0;
    for (Suspect suspect : suspects.values()) {
      if (isHeld(suspect) || others++ < REMINDED) {
        reminded.add(suspect);
      }
    }
    reminded.forEach(this::toTheEnd);
    return reminded;
  }

  /** The next rounds remind of others first. */
  private void toTheEnd(Suspect suspect) {
    suspects.remove(suspect.digest());
    suspects.put(suspect.digest(), suspect);
  }

  /** Returns what is told in this round. */
  public List<SuspectNews> news() {
    return told;
  }

  /** Returns what is known of a quarantined request that the platform's store does not have yet. */
  @Nullable SuspectNews unsaved(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect == null || !isHeld(suspect) || suspect.isSaved()) {
      return null;
    }
    return suspect.news(ticker.millis());
  }

  /** Returns all quarantined requests. */
  List<SuspectNews> held() {
    List<SuspectNews> held = new ArrayList<>();
    for (Suspect suspect : suspects.values()) {
      if (isHeld(suspect)) {
        held.add(suspect.news(ticker.millis()));
      }
    }
    return held;
  }

  /** Notes that the platform's store has a request, and has other VMs told. */
  void saved(RequestDigest digest) {
    Suspect suspect = find(digest);
    if (suspect != null && !suspect.isSaved()) {
      suspect.saved();
      suspect.tellFor(TOLD_ROUNDS);
    }
  }
}
