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

import java.util.HashMap;
import java.util.Map;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.loads.PeerLoads;

/**
 * One incarnation of a backend server, that is one run of its process, with what this VM observed
 * of it: requests in flight, failures, and which prompt parts it probably has in its cache. The
 * next incarnation of the server starts without this state. Not thread-safe; used on the event loop
 * only.
 */
final class Backend {
  /** Consecutive failures after which a server gets no requests for a while. */
  private static final int FAILURES_TO_EJECT = 3;

  private static final long FIRST_EJECTION_MS = 1_000;
  private static final long MAX_EJECTION_MS = 8_000;

  /** How long a server that was full or loading is skipped if there are others. */
  private static final long REFUSED_MS = 150;

  private ServerEntry entry;
  private final long idHash;
  private long startHash;
  private long goneAtMs = Long.MAX_VALUE;
  private long heardGoneAtMs = Long.MIN_VALUE;
  private long leavingAtMs = Long.MAX_VALUE;
  private final Map<String, Long> learnedWeights = new HashMap<>();
  private int inFlight;
  private long pendingTokens;
  private long heldTokens;
  private int failures;
  private int ejections;
  private long ejectedUntilMs;
  private long refusedUntilMs;
  private boolean replaced;
  private long listedRevision;
  private boolean ended;
  private long coldUntilMs = Long.MIN_VALUE;
  private final DrawnSlots.Used coldSends = new DrawnSlots.Used();
  private final DrawnSlots.Used limitedSends = new DrawnSlots.Used();
  private final KeptParts kept = new KeptParts();
  private final EngineTiming timing;
  private final LinkBacklog backlog = new LinkBacklog();
  private final ServerRest rest = new ServerRest();
  private boolean saidLeaving;
  private boolean saidUnreadable;
  private int notices;

  Backend(ServerEntry entry, long sinceMs) {
    this(entry, sinceMs, new EngineTiming());
  }

  private Backend(ServerEntry entry, long sinceMs, EngineTiming timing) {
    this.entry = entry;
    this.idHash = Hashes.placement(entry.id());
    this.startHash = idHash;
    this.timing = timing;
    update(entry, sinceMs);
  }

  /**
   * Returns the server after a restart. The new incarnation keeps only the learned speed of the
   * machine.
   */
  Backend startedAgain(ServerEntry next, long sinceMs) {
    return new Backend(next, sinceMs, timing.ofNextStart());
  }

  /** Applies a changed entry; {@code sinceMs} is the earliest time of the change. */
  void update(ServerEntry changed, long sinceMs) {
    entry = changed;
    startHash = changed.startedMs() == 0 ? idHash : Hashes.weight(idHash, changed.startedMs());
    ended &= !isRemoved();
    goneAtMs = Long.MAX_VALUE;
    if (changed.leaving() && leavingAtMs == Long.MAX_VALUE) {
      leavingAtMs = sinceMs;
    }
  }

  ServerEntry entry() {
    return entry;
  }

  /** Sets the store revision at which this VM last saw the entry. */
  void listedAt(long revision) {
    listedRevision = revision;
  }

  /** Returns the store revision at which this VM last saw the entry. */
  long listedRevision() {
    return listedRevision;
  }

  /** Returns the hash of the id, by which each prompt is assigned to its affinity server. */
  long idHash() {
    return idHash;
  }

  /** Returns the hash of this incarnation, by which VMs report their load on it to each other. */
  long startHash() {
    return startHash;
  }

  /** Notes the weights version reported in an answer, which may be newer than the entry's. */
  void learnWeights(String model, long version) {
    Long before = learnedWeights.put(model, version);
    if (before == null || before < version) {
      forgetParts();
    }
  }

  /** Returns the version of a model's weights that the server has at least; 0 if unknown. */
  long weights(String model) {
    long listed = entry.weightVersions().getOrDefault(model, 0L);
    return Math.max(listed, learnedWeights.getOrDefault(model, 0L));
  }

  /**
   * Notes that the server's entry was removed; {@code sinceMs} is the earliest time of the removal.
   */
  void removed(long sinceMs, long nowMs) {
    goneAtMs = sinceMs;
    heardGoneAtMs = nowMs;
  }

  /** Returns when this VM last learned that the entry was removed. */
  long heardGoneAtMs() {
    return heardGoneAtMs;
  }

  boolean isRemoved() {
    return goneAtMs != Long.MAX_VALUE;
  }

  /**
   * Returns how long ago the server may have begun to leave, or its entry disappeared, at the
   * earliest; -1 if neither happened.
   */
  long leavingForMs(long nowMs) {
    long since = Math.min(goneAtMs, leavingAtMs);
    return since == Long.MAX_VALUE ? -1 : nowMs - since;
  }

  /**
   * Notes that the server announced in an answer that it leaves; returns true if that is new.
   * During an outage of the platform's store this is the only information about it. The
   * announcement is final, whatever the store says later.
   */
  boolean saysLeaving(long nowMs) {
    boolean isNew = !saidLeaving;
    saidLeaving = true;
    leavingAtMs = Math.min(leavingAtMs, nowMs);
    return isNew;
  }

  /** Notes that the server sent an unreadable notice; returns true if it is the first. */
  boolean saysUnreadable() {
    boolean isNew = !saidUnreadable;
    saidUnreadable = true;
    return isNew;
  }

  /** Returns true if the server announced in an answer that it leaves. */
  boolean hasSaidLeaving() {
    return saidLeaving;
  }

  /** Returns true if the server announced that it leaves, in its entry or in an answer. */
  boolean isLeaving() {
    return entry.leaving() || saidLeaving;
  }

  boolean isEjected(long nowMs) {
    return nowMs < ejectedUntilMs;
  }

  /** Notes that the server is cold until a time; a later end that is already known stays. */
  void coldUntil(long untilMs) {
    coldUntilMs = Math.max(coldUntilMs, untilMs);
  }

  /** Returns how much longer the server is cold; 0 or less if it is not. */
  long coldForMs(long nowMs) {
    return coldUntilMs == Long.MIN_VALUE ? 0 : coldUntilMs - nowMs;
  }

  /** Returns this VM's attempts per time slot at the server while it was cold. */
  DrawnSlots.Used coldSends() {
    return coldSends;
  }

  /** Returns this VM's attempts per time slot at the server while it had a limit. */
  DrawnSlots.Used limitedSends() {
    return limitedSends;
  }

  boolean refusedLately(long nowMs) {
    return nowMs < refusedUntilMs;
  }

  int inFlight() {
    return inFlight;
  }

  long pendingTokens() {
    return pendingTokens;
  }

  /** Returns the KV cache tokens that this VM's requests in flight need on the server. */
  long heldTokens() {
    return heldTokens;
  }

  /**
   * Notes a request that was sent.
   *
   * @param readTokens prompt tokens that the server has to prefill
   * @param memoryTokens tokens that the request occupies in the engine's memory
   */
  void sent(long readTokens, long memoryTokens) {
    inFlight++;
    pendingTokens += readTokens;
    heldTokens += memoryTokens;
  }

  void prefilled(long tokens) {
    pendingTokens = Math.max(0, pendingTokens - tokens);
  }

  void finished(long memoryTokens) {
    inFlight--;
    heldTokens -= memoryTokens;
  }

  void succeeded(long nowMs) {
    rest.proved(nowMs);
    ended = false;
    failures = 0;
    ejections = 0;
  }

  void refused(long nowMs) {
    refusedUntilMs = nowMs + REFUSED_MS;
  }

  /** Notes a failure; returns true if it ejects the server. */
  boolean failed(long nowMs) {
    failures++;
    if (failures < FAILURES_TO_EJECT) {
      return false;
    }
    failures = 0;
    long span = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << Math.min(ejections, 4));
    ejections++;
    ejectedUntilMs = nowMs + span;
    return true;
  }

  /**
   * Notes that the server refused because it has newer weights than known; {@code newest} is the
   * newest published version.
   */
  void refusedWeights(String model, long newest) {
    if (weights(model) < newest) {
      learnWeights(model, newest);
    }
  }

  /** Notes that the server lacks the newest weights: the version in its entry counts again. */
  void lacksWeights(String model, long nowMs) {
    learnedWeights.remove(model);
    refused(nowMs);
  }

  /** Returns the prompt parts that the server probably has in its cache. */
  KeptParts kept() {
    return kept;
  }

  /** Returns the learned response times of the server, if it is an engine. */
  EngineTiming timing() {
    return timing;
  }

  /** Returns the fetches that this VM ordered over the server's network link. */
  LinkBacklog backlog() {
    return backlog;
  }

  /** Returns the backoff that the server asked this VM for. */
  ServerRest rest() {
    return rest;
  }

  /** Counts a notice of the server that says something new. */
  void noticed() {
    notices++;
  }

  /** Returns the number of notices that said something new. */
  int notices() {
    return notices;
  }

  /** Returns how long the server's network link is busy with the known fetches of all VMs. */
  double backlogMs(long nowMs, PeerLoads peerLoads) {
    return backlog.ms(nowMs) + peerLoads.movingMs(startHash);
  }

  double msPerToken() {
    return timing.msPerToken();
  }

  /**
   * Notes that a later incarnation has the server's address: this one is gone and never returns.
   */
  void replacedByAnother() {
    replaced = true;
  }

  boolean isReplaced() {
    return replaced;
  }

  /**
   * Notes that this incarnation ended while requests were in flight; a later successful answer
   * clears that.
   */
  void end() {
    ended = true;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Forgets all cached parts, after the server's weights changed. */
  void forgetParts() {
    kept.clear();
  }
}
