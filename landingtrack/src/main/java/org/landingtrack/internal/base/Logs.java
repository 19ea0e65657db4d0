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

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets up logging once for a process. The logger's name is the fixed prefix of its part. */
public final class Logs {
  /** Lines that may wait for the reader of standard output. */
  private static final int RING_SIZE = 2_048;

  /** The part that tells of starts, stops and reloads. */
  private static final String PROCESS = "process";

  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level [%logger] %msg%n";

  private static volatile @Nullable CountingRing lines;

  private Logs() {}

  /**
   * Writes to standard error.
   *
   * @param format {@code text} or {@code json}
   * @param level a Logback level, for example {@code info}
   */
  public static void configure(String format, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder(format, context));
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    Level own = Level.toLevel(level, Level.INFO);
    root.setLevel(own);
    root.addAppender(appender);
    for (String noisy : new String[] {"org.eclipse.jetty", "io.javalin", "io.grpc"}) {
      context.getLogger(noisy).setLevel(own.isGreaterOrEqual(Level.WARN) ? own : Level.WARN);
    }
  }

  /**
   * Writes lines of JSON to standard output through a bounded ring; a full ring drops lines, so
   * that nothing that is logged ever waits for a reader.
   *
   * @param level a Logback level, for example {@code info}
   */
  public static void configureLines(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    JsonLineEncoder encoder = new JsonLineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    CountingRing ring = new CountingRing(RING_SIZE);
    ring.setContext(context);
    ring.addAppender(console);
    ring.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(ring);
    level(level);
    lines = ring;
    context.getLogger("io.netty").setLevel(Level.WARN);
  }

  /** Returns how many lines the ring dropped so far; 0 where there is none. */
  public static long droppedLines() {
    CountingRing ring = lines;
    return ring == null ? 0 : ring.dropped();
  }

  /** Sets the level of all parts; starts, stops and reloads are told at every level. */
  public static void level(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level, Level.INFO));
    context.getLogger(PROCESS).setLevel(Level.INFO);
  }

  /** Writes what still waits, for a moment at most. For the end of a process. */
  public static void flush() {
    CountingRing ring = lines;
    if (ring != null) {
      ring.stop();
    }
  }

  private static Encoder<ILoggingEvent> encoder(String format, LoggerContext context) {
    if (format.equals("json")) {
      JsonEncoder json = new JsonEncoder();
      json.setContext(context);
      json.start();
      return json;
    }
    PatternLayoutEncoder text = new PatternLayoutEncoder();
    text.setContext(context);
    text.setPattern(PATTERN);
    text.start();
    return text;
  }
}
