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
package org.landingtrack.internal.reachability;

import java.util.HashMap;
import java.util.Map;
import org.landingtrack.internal.base.Ticker;

/**
 * Tracks which backend servers this VM reaches over its own network links. A link is down if no
 * connection can be opened to a server that another VM reaches. If several links fail and no
 * connection could be opened for a while, this VM is partitioned from its servers. Not thread-safe,
 * except for {@link #isPartitioned}.
 */
public final class ServerLinks {
  /** With a single failed link the server is as likely to be the cause. */
  private static final int MIN_PARTITIONED_LINKS = 2;

  /** A VM that opened a connection within this time has lost some links at most. */
  static final long MIN_PARTITION_MS = 1_000;

  /** Interval between two connection attempts over a link that is down. */
  static final long PROBE_INTERVAL_MS = 500;

  /**
   * Silence of all servers after which a link is checked. Longer than most servers take for their
   * first byte.
   */
  static final long ALL_SILENT_MS = 500;

  /** Silence of a single server after which its link is checked. */
  static final long SERVER_SILENT_MS = 1_000;

  /** Interval between two checks while no link is known to be down. */
  static final long CHECK_INTERVAL_MS = 500;

  /** Evidence of a failed link is dropped after this time. */
  private static final long EVIDENCE_MS = 10_000;

  private final Ticker ticker;
  private final Listener listener;
  private final Map<String, FailedLink> failedLinks = new HashMap<>();
  private final Map<String, Long> receivedAtMs = new HashMap<>();
  private final Map<String, Long> checkedAtMs = new HashMap<>();
  private long anyConnectedAtMs = Long.MIN_VALUE / 2;
  private long anyReceivedAtMs = Long.MIN_VALUE / 2;
  private long anyCheckedAtMs = Long.MIN_VALUE / 2;
  private long partitionedSinceMs;
  private volatile boolean partitioned;

  /** How the connection attempts over a link fail. */
  public enum Failure {
    /** Attempts get no answer; open connections are dead as well. */
    SILENT,
    /** Attempts are refused or reset; open connections may still work. */
    REFUSED
  }

  /** Receives the changes of links. */
  public interface Listener {
    /** Called when a link fails. */
    void linkDown(String server, Failure failure);

    /** Called when a connection was opened over a link that was down. */
    void linkUp(String server, long downMs);

    /** Called when this VM becomes partitioned from its servers, and when it is not any more. */
    void partitionChanged(boolean isPartitioned, int failedLinks);
  }

  private static final class FailedLink {
    private final long sinceMs;
    private Failure failure;
    private boolean confirmed;
    private long seenAtMs;
    private long probedAtMs;

    FailedLink(Failure failure, long nowMs) {
      this.failure = failure;
      this.sinceMs = nowMs;
      this.seenAtMs = nowMs;
      this.probedAtMs = nowMs;
    }
  }

  public ServerLinks(Ticker ticker, Listener listener) {
    this.ticker = ticker;
    this.listener = listener;
  }

  /** Records that a connection was opened over the link to a server. */
  public void onConnected(String server) {
    onReceived(server);
    anyConnectedAtMs = ticker.millis();
    FailedLink failed = failedLinks.remove(server);
    if (failed != null && failed.confirmed) {
      listener.linkUp(server, ticker.millis() - failed.sinceMs);
    }
    failedLinks.values().removeIf(link -> !link.confirmed);
    if (partitioned) {
      failedLinks.values().forEach(link -> link.probedAtMs = Long.MIN_VALUE / 2);
      setPartitioned(false);
    }
  }

  /** Records that bytes of a server arrived over its link. */
  public void onReceived(String server) {
    anyReceivedAtMs = ticker.millis();
    receivedAtMs.put(server, anyReceivedAtMs);
  }

  /**
   * Records that no connection could be opened to a server.
   *
   * @param confirmed true if another VM reaches the server, so that the link is the cause; false if
   *     no other VM could tell
   */
  public void onFailed(String server, Failure failure, boolean confirmed) {
    long now = ticker.millis();
    failedLinks.values().removeIf(link -> now - link.seenAtMs > EVIDENCE_MS);
    FailedLink link = failedLinks.computeIfAbsent(server, id -> new FailedLink(failure, now));
    link.seenAtMs = now;
    link.failure = failure;
    if (confirmed && !link.confirmed) {
      link.confirmed = true;
      listener.linkDown(server, failure);
    }
    boolean hasNoLink = now - anyConnectedAtMs >= MIN_PARTITION_MS;
    if (!partitioned && hasNoLink && failedLinks.size() >= MIN_PARTITIONED_LINKS) {
      partitionedSinceMs = now;
      setPartitioned(true);
    }
  }

  private void setPartitioned(boolean value) {
    partitioned = value;
    listener.partitionChanged(value, failedLinks.size());
  }

  /** Forgets a server that is gone. */
  public void remove(String server) {
    receivedAtMs.remove(server);
    checkedAtMs.remove(server);
    failedLinks.remove(server);
  }

  /** Returns true if another VM reached the server when this one did not. */
  public boolean isDown(String server) {
    FailedLink link = failedLinks.get(server);
    return link != null && link.confirmed;
  }

  /**
   * Returns true if an open connection to a server is probably dead: nothing arrived for a while,
   * and attempts to connect get no answer either. A server that is only paused for a moment looks
   * the same at first, so a single link has to be silent for longer than that of a partitioned VM.
   *
   * @param sinceMs when the request was sent, or the last byte of its answer arrived
   */
  public boolean isSilent(String server, long sinceMs) {
    FailedLink link = failedLinks.get(server);
    if (link == null || !link.confirmed || link.failure != Failure.SILENT) {
      return false;
    }
    return ticker.millis() - sinceMs >= (partitioned ? ALL_SILENT_MS : SERVER_SILENT_MS);
  }

  /** Returns true if this VM reaches none of its servers. Safe to call from any thread. */
  public boolean isPartitioned() {
    return partitioned;
  }

  /** Returns how many links are down. */
  public int downCount() {
    int count = 0;
    for (FailedLink link : failedLinks.values()) {
      count += link.confirmed ? 1 : 0;
    }
    return count;
  }

  /** Returns true if a server sent something or accepted a connection recently. */
  public boolean hasRecentContact() {
    return ticker.millis() - anyReceivedAtMs <= SERVER_SILENT_MS;
  }

  /**
   * Returns true if an open connection to a server may be dead: its link failed after it was last
   * used.
   */
  public boolean mayBeDead(String server, long lastUsedMs) {
    FailedLink link = failedLinks.get(server);
    if (link != null && link.confirmed) {
      return lastUsedMs <= link.sinceMs;
    }
    return partitioned && lastUsedMs <= partitionedSinceMs;
  }

  /** Returns true, at most once in each interval, if a failed link is to be tried again. */
  public boolean takeProbe(String server) {
    long now = ticker.millis();
    FailedLink link = failedLinks.get(server);
    if (link == null) {
      // A partitioned VM has not tried this link yet.
      return true;
    }
    if (now - link.probedAtMs < PROBE_INTERVAL_MS) {
      return false;
    }
    link.probedAtMs = now;
    return true;
  }

  /**
   * Returns true if the link to a server is to be checked because a request gets no answer. The
   * check then counts as done.
   *
   * @param sinceMs when the request was sent, or the last byte of its answer arrived
   */
  public boolean takeCheck(String server, long sinceMs) {
    long now = ticker.millis();
    long serverSince = Math.max(sinceMs, receivedAtMs.getOrDefault(server, Long.MIN_VALUE / 2));
    long allSince = Math.max(sinceMs, anyReceivedAtMs);
    boolean isSilent = now - serverSince >= SERVER_SILENT_MS || now - allSince >= ALL_SILENT_MS;
    if (!isSilent || isDown(server) || !mayCheck(server, now)) {
      return false;
    }
    anyCheckedAtMs = now;
    checkedAtMs.put(server, now);
    return true;
  }

  private boolean mayCheck(String server, long now) {
    Long checked = checkedAtMs.get(server);
    if (checked != null && now - checked < SERVER_SILENT_MS) {
      return false;
    }
    return partitioned || downCount() > 0 || now - anyCheckedAtMs >= CHECK_INTERVAL_MS;
  }
}
