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
package org.landingtrack.internal.platform;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.landingtrack.internal.base.StallDetector;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.landingtrack.internal.serving.ManualEventLoop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks the earliest time that is assigned to a change when it is read late, for example after the
 * process was suspended.
 */
public final class TimestampedObjectApiTest {
  private static final String PREFIX = "weights";
  private static final long WAIT_MS = 4_000;
  private static final long MAX_READ_DELAY_MS = 1_000;
  private FakeObjectApi store;
  private ManualEventLoop loop;
  private StallDetector awake;
  private TimestampedObjectApi timestamped;

  /** True if the process is suspended while it waits for an answer. */
  private boolean suspended;

  private int changes;

  /** Action on the store while a watch waits. */
  private Runnable duringWatch = () -> {};

  /** Time from an answer being made to the process reading it. */
  private long answerDelayMs;

  /** Answer of a list in place of the current objects, or null. */
  private @Nullable Listing delayedAnswer;

  @BeforeMethod
  public void setUp() {
    store = new FakeObjectApi();
    loop = new ManualEventLoop();
    answerDelayMs = 0;
    delayedAnswer = null;
    duringWatch = () -> {};
    awake = new StallDetector(loop);
    suspended = false;
    timestamped = new TimestampedObjectApi(new SlowApi(), loop, awake);
    advance(2_000);
  }

  private void advance(long ms) {
    for (long remainingMs = ms; remainingMs > 0; remainingMs -= 100) {
      loop.advance(Math.min(100, remainingMs));
      awake.tick();
    }
  }

  private void passAnswerDelay() {
    if (suspended) {
      loop.advance(answerDelayMs);
    } else {
      advance(answerDelayMs);
    }
  }

  private long change() {
    String key = PREFIX + "/o" + changes++;
    return store.write(CallClass.CONFIGURATION, key, "{}", ObjectApi.ABSENT).revision();
  }

  private void list() {
    timestamped.list(CallClass.CONFIGURATION, PREFIX, "", 100);
  }

  private void watch(long revision) {
    timestamped.watch(CallClass.CONFIGURATION, PREFIX, revision, WAIT_MS);
  }

  @Test
  public void changeBeforeTheFirstListHasNoEarliestTime() {
    long revision = change();
    list();
    assertEquals(timestamped.earliestChangeMs(PREFIX, revision), OptionalLong.empty());
  }

  @Test
  public void changeIsLaterThanTheSendTimeOfTheLastListWithoutIt() {
    change();
    long sentMs = loop.millis();
    answerDelayMs = 300;
    list();
    advance(5_000);
    long revision = change();
    list();
    assertEquals(timestamped.earliestChangeMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** A watch is answered as soon as there is a change, and the answer is read within a second. */
  @Test
  public void earliestTimeOfAWatchedChangeIsOneReadDelayAgo() {
    long knownRevision = change();
    list();
    answerDelayMs = 3_000;
    duringWatch = this::change;
    watch(knownRevision);
    assertEquals(
        timestamped.earliestChangeMs(PREFIX, knownRevision + 1),
        OptionalLong.of(loop.millis() - MAX_READ_DELAY_MS));
  }

  /**
   * The answer may have waited in the socket, so the change is only known to be later than the
   * previous answer.
   */
  @Test
  public void changeReadAfterASuspensionIsLaterThanThePreviousAnswer() {
    long knownRevision = change();
    list();
    advance(1_000);
    long sentMs = loop.millis();
    answerDelayMs = 3_000;
    watch(knownRevision);
    long revision = change();
    suspended = true;
    watch(knownRevision);
    assertEquals(
        timestamped.earliestChangeMs(PREFIX, revision),
        OptionalLong.of(sentMs + answerDelayMs - MAX_READ_DELAY_MS));
  }

  /**
   * The store may have answered at once, and the answer may have waited in the socket of the
   * suspended VM.
   */
  @Test
  public void emptyWatchReadAfterASuspensionCountsFromItsSendTime() {
    long knownRevision = change();
    list();
    advance(1_000);
    long sentMs = loop.millis();
    answerDelayMs = WAIT_MS + 3_000;
    suspended = true;
    watch(knownRevision);
    long revision = change();
    watch(knownRevision);
    assertEquals(timestamped.earliestChangeMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** A change made before the watch was sent is returned at once, and may be old by then. */
  @Test
  public void watchDoesNotSetTheTimeOfAnEarlierChange() {
    long knownRevision = change();
    long sentMs = loop.millis();
    list();
    advance(1_000);
    long revision = change();
    advance(7_000);
    answerDelayMs = 50;
    watch(knownRevision);
    assertEquals(timestamped.earliestChangeMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** Answers may be read in another order than they were made. */
  @Test
  public void olderAnswerDoesNotReplaceANewerOne() {
    change();
    list();
    advance(1_000);
    long second = change();
    long sentMs = loop.millis();
    list();
    advance(2_000);
    delayedAnswer = new Listing(second - 1, List.of());
    list();
    assertEquals(timestamped.earliestChangeMs(PREFIX, second + 1), OptionalLong.of(sentMs));
  }

  /** Answers for other prefixes prove nothing: a watch returns changes of its own prefix only. */
  @Test
  public void prefixesAreIndependent() {
    list();
    timestamped.list(CallClass.CONFIGURATION, "other", "", 100);
    long revision = change();
    assertEquals(timestamped.earliestChangeMs("third", revision), OptionalLong.empty());
  }

  /** The wrapped store, with answers that are read late. */
  private final class SlowApi implements ObjectApi {
    @Override
    public Optional<StoredObject> read(CallClass callClass, String key) {
      return store.read(callClass, key);
    }

    @Override
    public Listing list(CallClass callClass, String prefix, String after, int limit) {
      Listing delayed = delayedAnswer;
      Listing all = delayed == null ? store.list(callClass, prefix, after, limit) : delayed;
      passAnswerDelay();
      return all;
    }

    @Override
    public StoredObject write(CallClass callClass, String key, String value, long expectedVersion) {
      return store.write(callClass, key, value, expectedVersion);
    }

    @Override
    public Listing watch(CallClass callClass, String prefix, long afterRevision, long waitMs) {
      duringWatch.run();
      Listing changes = store.watch(callClass, prefix, afterRevision, waitMs);
      passAnswerDelay();
      return changes;
    }
  }
}
