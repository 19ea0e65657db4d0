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

/**
 * Configures logging for a process. A logger is named after its component; the name is the field
 * {@code part} of a JSON line.
 */
public final class Logs {
  /** Events that may wait until standard output is read. */
  private static final int QUEUE_SIZE = 2_048;

  /** Name of the logger for starts, stops and reloads of settings. */
  private static final String PROCESS_LOGGER = "process";

  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level [%logger] %msg%n";

  private static volatile @Nullable DropCountingAppender asyncAppender;

  private Logs() {}

  /**
   * Logs to standard error, synchronously.
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
    Level threshold = Level.toLevel(level, Level.INFO);
    root.setLevel(threshold);
    root.addAppender(appender);
    for (String library : new String[] {"org.eclipse.jetty", "io.javalin", "io.grpc"}) {
      context
          .getLogger(library)
          .setLevel(threshold.isGreaterOrEqual(Level.WARN) ? threshold : Level.WARN);
    }
  }

  /**
   * Logs lines of JSON to standard output through a bounded queue. A full queue drops lines, so
   * that a thread that logs never waits for the reader of standard output.
   *
   * @param level a Logback level, for example {@code info}
   */
  public static void configureJsonLines(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    JsonLineEncoder encoder = new JsonLineEncoder();
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    DropCountingAppender appender = new DropCountingAppender(QUEUE_SIZE);
    appender.setContext(context);
    appender.addAppender(console);
    appender.start();
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.addAppender(appender);
    setLevel(level);
    asyncAppender = appender;
    context.getLogger("io.netty").setLevel(Level.WARN);
  }

  /** Returns how many lines were dropped so far; 0 without {@link #configureJsonLines}. */
  public static long droppedLines() {
    DropCountingAppender appender = asyncAppender;
    return appender == null ? 0 : appender.dropped();
  }

  /** Sets the level of all loggers; starts, stops and reloads are logged at every level. */
  public static void setLevel(String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.toLevel(level, Level.INFO));
    context.getLogger(PROCESS_LOGGER).setLevel(Level.INFO);
  }

  /** Writes the queued lines, within a second at most. For the end of a process. */
  public static void flush() {
    DropCountingAppender appender = asyncAppender;
    if (appender != null) {
      appender.stop();
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
