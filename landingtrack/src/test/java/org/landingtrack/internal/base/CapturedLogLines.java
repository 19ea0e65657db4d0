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

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.ContextInitializer;
import ch.qos.logback.core.joran.spi.JoranException;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.LoggerFactory;

/**
 * Redirects standard output and logs JSON lines to it, until closed; then restores the tests' own
 * logging.
 */
public final class CapturedLogLines implements AutoCloseable {
  /** Prefix of the names of the threads with which Logback writes queued events. */
  private static final String WRITER_THREAD_PREFIX = "AsyncAppender-Worker";

  private static final long MAX_WAIT_MS = 20_000;

  private final PrintStream originalOut = System.out;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /** Captures the lines in memory. */
  public CapturedLogLines() {
    this(null);
  }

  /** Writes the lines to the given stream, or captures them in memory if it is null. */
  public CapturedLogLines(OutputStream target) {
    System.setOut(new PrintStream(target == null ? bytes : target, true, StandardCharsets.UTF_8));
    Logs.configureJsonLines("info");
  }

  /** Stops the logging and returns the lines written. */
  public List<String> lines() {
    Logs.flush();
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }

  /**
   * Restores standard output and the logging. Waits for the writer threads as well: the flush of a
   * process waits only one second for them, and lines written later would be captured by the next
   * test.
   */
  @Override
  public void close() {
    Logs.flush();
    awaitWriterThreads();
    System.setOut(originalOut);
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    try {
      new ContextInitializer(context).autoConfig();
    } catch (JoranException e) {
      throw new IllegalStateException("cannot restore the logging configuration of the tests", e);
    }
  }

  private static void awaitWriterThreads() {
    for (Thread thread : Thread.getAllStackTraces().keySet()) {
      if (thread.getName().startsWith(WRITER_THREAD_PREFIX)) {
        try {
          thread.join(MAX_WAIT_MS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }
}
