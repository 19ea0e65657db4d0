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
import org.landingtrack.internal.base.Awake;
import org.landingtrack.internal.platform.ObjectApi.CallClass;
import org.landingtrack.internal.platform.ObjectApi.Listing;
import org.landingtrack.internal.serving.ManualLoop;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks the earliest time that is assigned to a change when it is read late, for example after the
 * process was suspended.
 */
public final class DatedObjectApiTest {
  private static final String PREFIX = "weights";
  private static final long WAIT_MS = 4_000;
  private static final long READ_MS = 1_000;
  private FakeObjectApi store;
  private ManualLoop loop;
  private Awake awake;
  private DatedObjectApi dated;

  /** True if the process is suspended while it waits for an answer. */
  private boolean standsStill;

  private int changes;

  /** Action on the store while a watch waits. */
  private Runnable duringWatch = () -> {};

  /** Time from an answer being made to the process reading it. */
  private long answerMs;

  /** Answer of a list in place of the current objects, or null. */
  private @Nullable Listing lateAnswer;

  @BeforeMethod
  public void newStore() {
    store = new FakeObjectApi();
    loop = new ManualLoop();
    answerMs = 0;
    lateAnswer = null;
    duringWatch = () -> {};
    awake = new Awake(loop);
    standsStill = false;
    dated = new DatedObjectApi(new SlowApi(), loop, awake);
    run(2_000);
  }

  private void run(long ms) {
    for (long remainingMs = ms; remainingMs > 0; remainingMs -= 100) {
      loop.advance(Math.min(100, remainingMs));
      awake.tick();
    }
  }

  private void answerComes() {
    if (standsStill) {
      loop.advance(answerMs);
    } else {
      run(answerMs);
    }
  }

  private long change() {
    String key = PREFIX + "/o" + changes++;
    return store.write(CallClass.CONFIGURATION, key, "{}", ObjectApi.ABSENT).revision();
  }

  private void list() {
    dated.list(CallClass.CONFIGURATION, PREFIX, "", 100);
  }

  private void watch(long revision) {
    dated.watch(CallClass.CONFIGURATION, PREFIX, revision, WAIT_MS);
  }

  @Test
  public void nothingIsKnownOfWhatWasThereBefore() {
    long revision = change();
    list();
    assertEquals(dated.madeAfterMs(PREFIX, revision), OptionalLong.empty());
  }

  @Test
  public void aChangeCameAfterTheLastListWithoutItWasSent() {
    change();
    long sentMs = loop.millis();
    answerMs = 300;
    list();
    run(5_000);
    long revision = change();
    list();
    assertEquals(dated.madeAfterMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** A watch is answered as soon as there is a change, and the answer is read within a second. */
  @Test
  public void aChangeThatAWatchTellsOfIsDatedToTheSecond() {
    long knownRevision = change();
    list();
    answerMs = 3_000;
    duringWatch = this::change;
    watch(knownRevision);
    assertEquals(
        dated.madeAfterMs(PREFIX, knownRevision + 1), OptionalLong.of(loop.millis() - READ_MS));
  }

  /**
   * The answer may have waited in the socket, so the change is only known to be later than the
   * previous answer.
   */
  @Test
  public void aChangeThatIsReadAfterStandingStillIsAsOldAsTheAnswerBefore() {
    long knownRevision = change();
    list();
    run(1_000);
    long sentMs = loop.millis();
    answerMs = 3_000;
    watch(knownRevision);
    long revision = change();
    standsStill = true;
    watch(knownRevision);
    assertEquals(dated.madeAfterMs(PREFIX, revision), OptionalLong.of(sentMs + answerMs - READ_MS));
  }

  /**
   * The store may have answered at once, and the answer may have waited in the socket of the
   * suspended VM.
   */
  @Test
  public void aWatchInVainThatIsReadAfterStandingStillProvesNoMoreThanThatItWasSent() {
    long knownRevision = change();
    list();
    run(1_000);
    long sentMs = loop.millis();
    answerMs = WAIT_MS + 3_000;
    standsStill = true;
    watch(knownRevision);
    long revision = change();
    watch(knownRevision);
    assertEquals(dated.madeAfterMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** A change made before the watch was sent is returned at once, and may be old by then. */
  @Test
  public void aChangeBeforeTheWatchIsNotDatedByIt() {
    long knownRevision = change();
    long sentMs = loop.millis();
    list();
    run(1_000);
    long revision = change();
    run(7_000);
    answerMs = 50;
    watch(knownRevision);
    assertEquals(dated.madeAfterMs(PREFIX, revision), OptionalLong.of(sentMs));
  }

  /** Answers may be read in another order than they were made. */
  @Test
  public void anOlderAnswerMovesNothingBack() {
    change();
    list();
    run(1_000);
    long second = change();
    long sentMs = loop.millis();
    list();
    run(2_000);
    lateAnswer = new Listing(second - 1, List.of());
    list();
    assertEquals(dated.madeAfterMs(PREFIX, second + 1), OptionalLong.of(sentMs));
  }

  /** Answers for other prefixes prove nothing: a watch returns changes of its own prefix only. */
  @Test
  public void eachPrefixIsDatedByItself() {
    list();
    dated.list(CallClass.CONFIGURATION, "other", "", 100);
    long revision = change();
    assertEquals(dated.madeAfterMs("third", revision), OptionalLong.empty());
  }

  /** The wrapped store, with answers that are read late. */
  private final class SlowApi implements ObjectApi {
    @Override
    public Optional<StoredObject> read(CallClass callClass, String key) {
      return store.read(callClass, key);
    }

    @Override
    public Listing list(CallClass callClass, String prefix, String after, int limit) {
      Listing delayed = lateAnswer;
      Listing all = delayed == null ? store.list(callClass, prefix, after, limit) : delayed;
      answerComes();
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
      answerComes();
      return changes;
    }
  }
}
