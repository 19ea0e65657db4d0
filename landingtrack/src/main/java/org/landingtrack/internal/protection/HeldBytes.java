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
package org.landingtrack.internal.protection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Counts the bytes that a VM buffers for callers and servers, and limits them. Guards against many
 * callers that read slowly or not at all: each caller has a share, and all of them together stay
 * within a bound that fits the VM's memory. The watermarks leave room for data that was already
 * read when a watermark is passed.
 */
public final class HeldBytes {
  /** Low watermark: nothing is restricted below it. A shortage ends here, for hysteresis. */
  private static final double LOW_WATERMARK = 0.5;

  /**
   * High watermark: new requests are refused, since those in flight may still need as much again.
   */
  private static final double HIGH_WATERMARK = 0.75;

  /**
   * Memory of a message beside its bytes: buffers, chunk framing and listeners. Without it, small
   * unread events would take several times the memory that is counted.
   */
  private static final int MESSAGE_OVERHEAD_BYTES = 512;

  /**
   * A share is the free space divided by this, so that many slow callers get smaller shares and
   * never take all of it.
   */
  private static final int SHARE_DIVISOR = 16;

  private static final long MIN_SHARE_BYTES = 4 << 10;
  private static final long MAX_SHARE_BYTES = 256 << 10;

  /** Smallest size of an answer of unknown length that is ended. */
  private static final long MIN_ENDED_UNKNOWN_LENGTH_BYTES = 256 << 10;

  private final long bound;
  private final Runnable onFull;
  private final Map<Kind, Long> byKind = new EnumMap<>(Kind.class);
  private final Set<Holder> holders = new LinkedHashSet<>();
  private long total;
  private boolean isShort;

  /** What bytes are held for, in the order in which holders are ended at the bound. */
  public enum Kind {
    /** Answers that callers have not read yet. */
    ANSWERS("answers"),
    /** Request bodies, from the first byte that is read until the request is answered. */
    BODIES("bodies"),
    /** Answers that are forwarded only when they are complete. */
    GATHERED("gathered"),
    /**
     * Such answers that do not state their length, so that nothing tells whether they end. They are
     * ended first, from the high watermark on.
     */
    UNKNOWN_LENGTH("unknown_length");

    private final String text;

    Kind(String text) {
      this.text = text;
    }

    /** Returns the name of the kind in metrics. */
    public String text() {
      return text;
    }
  }

  /**
   * Creates an account.
   *
   * @param bound bytes at which the largest holders are ended
   * @param onFull called when the bound is reached, or the high watermark with answers of unknown
   *     length; has to call {@link #shed} soon, but not from within this call
   */
  public HeldBytes(long bound, Runnable onFull) {
    this.bound = bound;
    this.onFull = onFull;
  }

  /** Opens the account of one connection. */
  public Holder open(Kind kind) {
    return new Holder(kind);
  }

  /** Returns the total of held bytes. */
  public long total() {
    return total;
  }

  /** Returns the held bytes of a kind. */
  public long total(Kind kind) {
    return byKind.getOrDefault(kind, 0L);
  }

  /** Returns the bytes at which the largest holders are ended. */
  public long bound() {
    return bound;
  }

  /**
   * Returns true from the high watermark until the total is below the low watermark: new requests
   * have to be refused.
   */
  public boolean isShort() {
    return isShort;
  }

  /** Returns true while the bound is reached: nothing more may be read. */
  public boolean isFull() {
    return total >= bound;
  }

  /**
   * Returns true below the low watermark: answers of callers that do not read may still be read.
   */
  public boolean hasRoom() {
    return total < lowWatermark();
  }

  /** Returns the unread bytes of one caller at which reading from its server is paused. */
  public long share() {
    long free = Math.max(0, lowWatermark() - total);
    return Math.min(MAX_SHARE_BYTES, Math.max(MIN_SHARE_BYTES, free / SHARE_DIVISOR));
  }

  /**
   * Ends holders. From the high watermark on: answers of unknown length, largest first, until the
   * total is below the low watermark, so that no new request is refused for them. If the bound is
   * reached: unread answers, largest first, until the total is below the low watermark; if they do
   * not suffice, request bodies that are still being read, until the total is below the bound.
   * Holders whose requests are at a server stay.
   *
   * @return the number of ended holders
   */
  public int shed() {
    int ended = endAnswersOfUnknownLength();
    if (!isFull()) {
      return ended;
    }
    List<Holder> candidates = new ArrayList<>();
    for (Holder holder : holders) {
      if (holder.shedAction != null && holder.kind != Kind.UNKNOWN_LENGTH) {
        candidates.add(holder);
      }
    }
    candidates.sort(
        Comparator.comparing((Holder holder) -> holder.kind)
            .thenComparing(Comparator.comparingLong(Holder::bytes).reversed()));
    for (Holder holder : candidates) {
      if (holder.kind == Kind.ANSWERS ? hasRoom() : !isFull()) {
        break;
      }
      Runnable action = holder.shedAction;
      if (action != null) {
        action.run();
        ended++;
      }
    }
    return ended;
  }

  private int endAnswersOfUnknownLength() {
    if (!isShort || total(Kind.UNKNOWN_LENGTH) == 0) {
      return 0;
    }
    List<Holder> candidates = new ArrayList<>();
    for (Holder holder : holders) {
      if (holder.kind == Kind.UNKNOWN_LENGTH && holder.bytes >= MIN_ENDED_UNKNOWN_LENGTH_BYTES) {
        candidates.add(holder);
      }
    }
    candidates.sort(Comparator.comparingLong(Holder::bytes).reversed());
    int ended = 0;
    for (Holder holder : candidates) {
      Runnable action = holder.shedAction;
      if (hasRoom()) {
        break;
      }
      if (action != null) {
        action.run();
        ended++;
      }
    }
    return ended;
  }

  private long lowWatermark() {
    return (long) (bound * LOW_WATERMARK);
  }

  private long highWatermark() {
    return (long) (bound * HIGH_WATERMARK);
  }

  private void change(Holder holder, long by) {
    boolean wasFull = isFull();
    boolean wasShort = isShort;
    total += by;
    byKind.merge(holder.kind, by, Long::sum);
    holder.bytes += by;
    if (holder.bytes == 0) {
      holders.remove(holder);
    } else {
      holders.add(holder);
    }
    isShort = isShort ? total >= lowWatermark() : total >= highWatermark();
    boolean mayEndUnknownLength = isShort && !wasShort && total(Kind.UNKNOWN_LENGTH) > 0;
    if ((isFull() && !wasFull) || mayEndUnknownLength) {
      onFull.run();
    }
  }

  /** Bytes that are held for one connection. */
  public final class Holder {
    private final Kind kind;
    private long bytes;
    private @Nullable Runnable shedAction;

    private Holder(Kind kind) {
      this.kind = kind;
    }

    /** Returns the bytes to count for a message of {@code messageBytes}, including its overhead. */
    public long cost(int messageBytes) {
      return messageBytes + (long) MESSAGE_OVERHEAD_BYTES;
    }

    /** Returns the bytes that are held now. */
    public long bytes() {
      return bytes;
    }

    /** Sets the action that ends this holder; null while it must not be ended. */
    public void setShedAction(@Nullable Runnable action) {
      shedAction = action;
    }

    /** Adds bytes that are held from now on. */
    public void hold(long more) {
      change(this, more);
    }

    /** Subtracts bytes that are no longer held, at most those that are held. */
    public void release(long less) {
      change(this, -Math.min(less, bytes));
    }

    /** Subtracts all bytes of this holder. */
    public void releaseAll() {
      release(bytes);
    }
  }
}
