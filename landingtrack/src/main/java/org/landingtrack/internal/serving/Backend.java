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
import org.jspecify.annotations.Nullable;
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

  /**
   * Time after a lost connection within which a server that started again under its id has written
   * its new entry to the platform's store, and this VM has read it.
   */
  static final long RESTART_DETECTION_MS = 3_000;

  private ServerEntry entry;
  private final long idHash;
  private long incarnationHash;
  private long removedAtMs = Long.MAX_VALUE;
  private long removalSeenAtMs = Long.MIN_VALUE;
  private long leavingAtMs = Long.MAX_VALUE;
  private final Map<String, Long> learnedWeightVersions = new HashMap<>();
  private int inFlight;
  private long pendingTokens;
  private long memoryTokensInUse;
  private int failures;
  private int ejections;
  private long ejectedUntilMs;
  private long refusedUntilMs;
  private boolean replaced;
  private long replacedRevision;
  private long listedRevision;
  private boolean ended;
  private long coldUntilMs = Long.MIN_VALUE;
  private final HashedSlots.SlotUsage coldSends = new HashedSlots.SlotUsage();
  private final HashedSlots.SlotUsage limitedSends = new HashedSlots.SlotUsage();
  private final PrefixCacheEstimate cachedParts = new PrefixCacheEstimate();
  private final EngineTiming timing;
  private final LinkBacklog linkBacklog = new LinkBacklog();
  private final ServerBackoff backoff = new ServerBackoff();
  private boolean reportedLeaving;
  private boolean reportedUnreadable;
  private int noticeCount;
  private long connectionLostAtMs = Long.MIN_VALUE / 2;

  Backend(ServerEntry entry, long sinceMs) {
    this(entry, sinceMs, new EngineTiming());
  }

  private Backend(ServerEntry entry, long sinceMs, EngineTiming timing) {
    this.entry = entry;
    this.idHash = Hashes.placement(entry.id());
    this.incarnationHash = idHash;
    this.timing = timing;
    update(entry, sinceMs);
  }

  /**
   * Returns the server after a restart. The new incarnation keeps only the learned speed of the
   * machine.
   */
  Backend restarted(ServerEntry next, long sinceMs) {
    return new Backend(next, sinceMs, timing.afterRestart());
  }

  /** Applies a changed entry; {@code sinceMs} is the earliest time of the change. */
  void update(ServerEntry changed, long sinceMs) {
    entry = changed;
    incarnationHash =
        changed.startedMs() == 0 ? idHash : Hashes.combine(idHash, changed.startedMs());
    ended &= !isRemoved();
    removedAtMs = Long.MAX_VALUE;
    if (changed.leaving() && leavingAtMs == Long.MAX_VALUE) {
      leavingAtMs = sinceMs;
    }
  }

  ServerEntry entry() {
    return entry;
  }

  /** Notes that a connection to the server broke or could not be opened. */
  void connectionLost(long nowMs) {
    connectionLostAtMs = nowMs;
  }

  /**
   * Returns the software version of the server, or null if it is not known. A server that keeps its
   * id over restarts may have started again with another version after a lost connection.
   */
  @Nullable String softwareVersion(long nowMs) {
    boolean mayHaveRestarted =
        entry.startedMs() > 0 && nowMs - connectionLostAtMs < RESTART_DETECTION_MS;
    return mayHaveRestarted ? null : entry.softwareVersion();
  }

  /** Sets the store revision at which this VM last saw the entry. */
  void setListedRevision(long revision) {
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
  long incarnationHash() {
    return incarnationHash;
  }

  /** Notes the weights version reported in an answer, which may be newer than the entry's. */
  void learnWeightVersion(String model, long version) {
    Long before = learnedWeightVersions.put(model, version);
    if (before == null || before < version) {
      clearCachedParts();
    }
  }

  /** Returns the version of a model's weights that the server has at least; 0 if unknown. */
  long weightVersion(String model) {
    long listed = entry.weightVersions().getOrDefault(model, 0L);
    return Math.max(listed, learnedWeightVersions.getOrDefault(model, 0L));
  }

  /**
   * Notes that the server's entry was removed; {@code sinceMs} is the earliest time of the removal.
   */
  void markRemoved(long sinceMs, long nowMs) {
    removedAtMs = sinceMs;
    removalSeenAtMs = nowMs;
  }

  /** Returns when this VM last learned that the entry was removed. */
  long removalSeenAtMs() {
    return removalSeenAtMs;
  }

  boolean isRemoved() {
    return removedAtMs != Long.MAX_VALUE;
  }

  /**
   * Returns how long ago the server may have begun to leave, or its entry disappeared, at the
   * earliest; -1 if neither happened.
   */
  long leavingForMs(long nowMs) {
    long since = Math.min(removedAtMs, leavingAtMs);
    return since == Long.MAX_VALUE ? -1 : nowMs - since;
  }

  /**
   * Notes that the server announced in an answer that it leaves; returns true if that is new.
   * During an outage of the platform's store this is the only information about it. The
   * announcement is final, whatever the store says later.
   */
  boolean markLeaving(long nowMs) {
    boolean isNew = !reportedLeaving;
    reportedLeaving = true;
    leavingAtMs = Math.min(leavingAtMs, nowMs);
    return isNew;
  }

  /** Notes that the server sent an unreadable notice; returns true if it is the first. */
  boolean markUnreadable() {
    boolean isNew = !reportedUnreadable;
    reportedUnreadable = true;
    return isNew;
  }

  /** Returns true if the server announced in an answer that it leaves. */
  boolean hasReportedLeaving() {
    return reportedLeaving;
  }

  /** Returns true if the server announced that it leaves, in its entry or in an answer. */
  boolean isLeaving() {
    return entry.leaving() || reportedLeaving;
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
  HashedSlots.SlotUsage coldSends() {
    return coldSends;
  }

  /** Returns this VM's attempts per time slot at the server while it had a limit. */
  HashedSlots.SlotUsage limitedSends() {
    return limitedSends;
  }

  boolean isRecentlyRefused(long nowMs) {
    return nowMs < refusedUntilMs;
  }

  int inFlight() {
    return inFlight;
  }

  long pendingTokens() {
    return pendingTokens;
  }

  /** Returns the KV cache tokens that this VM's requests in flight need on the server. */
  long memoryTokensInUse() {
    return memoryTokensInUse;
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
    memoryTokensInUse += memoryTokens;
  }

  void prefilled(long tokens) {
    pendingTokens = Math.max(0, pendingTokens - tokens);
  }

  void finished(long memoryTokens) {
    inFlight--;
    memoryTokensInUse -= memoryTokens;
  }

  void succeeded(long nowMs) {
    backoff.recordSuccess(nowMs);
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
  void onWeightsRefused(String model, long newest) {
    if (weightVersion(model) < newest) {
      learnWeightVersion(model, newest);
    }
  }

  /** Notes that the server lacks the newest weights: the version in its entry counts again. */
  void forgetLearnedWeights(String model, long nowMs) {
    learnedWeightVersions.remove(model);
    refused(nowMs);
  }

  /** Returns the prompt parts that the server probably has in its cache. */
  PrefixCacheEstimate cachedParts() {
    return cachedParts;
  }

  /** Returns the learned response times of the server, if it is an engine. */
  EngineTiming timing() {
    return timing;
  }

  /** Returns the fetches that this VM ordered over the server's network link. */
  LinkBacklog linkBacklog() {
    return linkBacklog;
  }

  /** Returns the backoff that the server asked this VM for. */
  ServerBackoff backoff() {
    return backoff;
  }

  /** Counts a notice of the server that says something new. */
  void countNotice() {
    noticeCount++;
  }

  /** Returns the number of notices that said something new. */
  int noticeCount() {
    return noticeCount;
  }

  /** Returns how long the server's network link is busy with the known fetches of all VMs. */
  double linkBacklogMs(long nowMs, PeerLoads peerLoads) {
    return linkBacklog.busyMs(nowMs) + peerLoads.transferMs(incarnationHash);
  }

  double msPerToken() {
    return timing.msPerToken();
  }

  /** Notes that another server answers at this one's address, so that this one has ended. */
  void markReplaced() {
    markReplaced(listedRevision);
  }

  /** Notes that the entry of a later server has this one's address, so that this one has ended. */
  void markReplaced(long revision) {
    replaced = true;
    replacedRevision = revision;
  }

  /**
   * Notes that the server wrote its entry. If that was after it was marked as replaced, it lives.
   *
   * @return true if the server was marked as replaced and is not any more
   */
  boolean clearReplaced(long revision) {
    boolean returns = replaced && revision > replacedRevision;
    replaced &= !returns;
    return returns;
  }

  boolean isReplaced() {
    return replaced;
  }

  /**
   * Notes that this incarnation ended while requests were in flight; a later successful answer
   * clears that.
   */
  void markEnded() {
    ended = true;
  }

  boolean hasEnded() {
    return ended;
  }

  /** Forgets all cached parts, after the server's weights changed. */
  void clearCachedParts() {
    cachedParts.clear();
  }
}
