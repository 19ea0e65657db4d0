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
package org.landingtrack.internal.base;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Lines of a process on standard output. */
public final class LogsTest {
  private static final long LONGEST_S = 20;
  private static final int MANY_LINES = 10_000;

  /** Together they take the reader longer than the flush waits. */
  private static final int SLOW_LINES = 300;

  private static final long PAUSE_MS = 10;
  private static final Logger log = LoggerFactory.getLogger("part");

  @DataProvider
  public Object[][] values() {
    return new Object[][] {
      {"plain"},
      {"quotes \" and \\ and {} and %d"},
      {"two\nlines\r\nand a \t tab and a \u0000 zero"},
      {"\u2028 \ud83d\ude00 \ud800"},
      {-1L},
      {3},
      {Double.NaN},
      {Double.POSITIVE_INFINITY},
      {true},
      {List.of("a", "b")},
      {null},
    };
  }

  @Test(dataProvider = "values")
  public void eachLineIsOneObject(Object value) throws Exception {
    try (CapturedLines captured = new CapturedLines()) {
      log.atInfo().addKeyValue("key", value).log("said {}", value);
      log.atError().setCause(new IllegalStateException("a\nb")).log("failed");
      List<String> lines = captured.lines();
      assertEquals(lines.size(), 2, String.join("\n", lines));
      JsonNode first = new ObjectMapper().readTree(lines.get(0));
      assertTrue(first.path("event").asText().startsWith("said"), lines.get(0));
      assertEquals(first.path("part").asText(), "part");
      assertEquals(first.path("level").asText(), "INFO");
      assertTrue(first.has("time") && first.has("key"), lines.get(0));
      JsonNode second = new ObjectMapper().readTree(lines.get(1));
      assertEquals(second.path("error").asText(), "java.lang.IllegalStateException: a\nb");
    }
  }

  /** The reader stops; what logs goes on, warnings keep their room, and the drops are counted. */
  @Test
  public void aStoppedReaderHoldsUpNobody() throws Exception {
    CountDownLatch goOn = new CountDownLatch(1);
    OutputStream stopped =
        new OutputStream() {
          @Override
          public void write(int b) {
            awaitQuietly(goOn);
          }
        };
    try (CapturedLines unused = new CapturedLines(stopped)) {
      CountDownLatch logged = new CountDownLatch(1);
      Duty.daemon("logs")
          .newThread(
              () -> {
                for (int i = 0; i < MANY_LINES; i++) {
                  log.info("line {}", i);
                }
                logged.countDown();
              })
          .start();
      assertTrue(logged.await(LONGEST_S, TimeUnit.SECONDS), "the thread waits for the reader");
      long dropped = Logs.droppedLines();
      assertTrue(dropped > 0 && dropped < MANY_LINES, "dropped: " + dropped);
      log.warn("kept");
      assertEquals(Logs.droppedLines(), dropped, "a warning was dropped");
      log.info("not kept");
      assertFalse(Logs.droppedLines() == dropped, "a line was dropped and not counted");
      goOn.countDown();
    }
  }

  /**
   * On a busy machine a test found 185 lines that a slow reader of the test before had left: the
   * flush ends after a second, and the thread that writes goes on.
   */
  @Test
  public void whatASlowReaderLeftIsNotCapturedByTheNext() throws Exception {
    OutputStream slow =
        new OutputStream() {
          @Override
          public void write(int b) {
            if (b == '\n') {
              pauseQuietly();
            }
          }
        };
    try (CapturedLines unused = new CapturedLines(slow)) {
      for (int i = 0; i < SLOW_LINES; i++) {
        log.info("line {}", i);
      }
    }
    try (CapturedLines captured = new CapturedLines()) {
      log.info("mine");
      TimeUnit.MILLISECONDS.sleep(10 * PAUSE_MS);
      assertEquals(captured.lines().size(), 1);
    }
  }

  private static void pauseQuietly() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      // The flush wakes the writer; what is left is written all the same, and slowly.
      long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PAUSE_MS);
      while (System.nanoTime() < endNs) {
        Thread.onSpinWait();
      }
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
