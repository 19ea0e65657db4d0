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

/** Checks the JSON log lines of a process on standard output. */
public final class LogsTest {
  private static final long MAX_WAIT_S = 20;
  private static final int MANY_LINES = 10_000;

  /** Together they take the slow reader longer than the flush waits. */
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
  public void writesEachLineAsOneJsonObject(Object value) throws Exception {
    try (CapturedLogLines captured = new CapturedLogLines()) {
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

  /**
   * A reader of standard output that stops must not block threads that log. Room stays for
   * warnings, and dropped lines are counted.
   */
  @Test
  public void stalledReaderDoesNotBlockLogging() throws Exception {
    CountDownLatch resume = new CountDownLatch(1);
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int b) {
            awaitQuietly(resume);
          }
        };
    try (CapturedLogLines unused = new CapturedLogLines(stalled)) {
      CountDownLatch logged = new CountDownLatch(1);
      BoundedWorker.daemonThreadFactory("logs")
          .newThread(
              () -> {
                for (int i = 0; i < MANY_LINES; i++) {
                  log.info("line {}", i);
                }
                logged.countDown();
              })
          .start();
      assertTrue(
          logged.await(MAX_WAIT_S, TimeUnit.SECONDS),
          "the logging thread is blocked by the reader");
      long dropped = Logs.droppedLines();
      assertTrue(dropped > 0 && dropped < MANY_LINES, "dropped: " + dropped);
      log.warn("kept");
      assertEquals(Logs.droppedLines(), dropped, "a warning was dropped");
      log.info("not kept");
      assertFalse(Logs.droppedLines() == dropped, "a line was dropped and not counted");
      resume.countDown();
    }
  }

  /**
   * Guards against lines of one test in the capture of the next. The flush ends after a second, but
   * the writer thread goes on with a slow reader; on a busy machine a test captured 185 lines of
   * the test before it.
   */
  @Test
  public void linesOfSlowReaderAreNotCapturedByNextTest() throws Exception {
    OutputStream slow =
        new OutputStream() {
          @Override
          public void write(int b) {
            if (b == '\n') {
              pauseQuietly();
            }
          }
        };
    try (CapturedLogLines unused = new CapturedLogLines(slow)) {
      for (int i = 0; i < SLOW_LINES; i++) {
        log.info("line {}", i);
      }
    }
    try (CapturedLogLines captured = new CapturedLogLines()) {
      log.info("mine");
      TimeUnit.MILLISECONDS.sleep(10 * PAUSE_MS);
      assertEquals(captured.lines().size(), 1);
    }
  }

  private static void pauseQuietly() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      // The flush interrupts the writer thread; keep writing the remaining lines slowly.
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
