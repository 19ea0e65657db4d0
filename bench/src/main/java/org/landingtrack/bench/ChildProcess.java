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
package org.landingtrack.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.landingtrack.Landingtrack;
import org.landingtrack.internal.base.Json;

/**
 * A landingtrack process that a test or a benchmark started. Signals go only to processes started
 * here.
 */
public final class ChildProcess implements AutoCloseable {
  private static final long STOP_TIMEOUT_S = 30;

  private final Process process;
  private final JsonNode ports;

  private ChildProcess(Process process, JsonNode ports) {
    this.process = process;
    this.ports = ports;
  }

  /**
   * Starts a landingtrack program and waits until it has printed its ports. Its standard error is
   * appended to a log file.
   */
  public static ChildProcess start(Path log, String... args) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-Xmx192m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path")));
    command.add(Landingtrack.class.getName());
    command.addAll(List.of(args));
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      BufferedReader standardOutput =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String portsLine = standardOutput.readLine();
      if (portsLine == null) {
        throw new IllegalStateException(
            "the process exited before it printed its ports; see " + log);
      }
      return new ChildProcess(process, Json.LENIENT.readTree(portsLine));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a port that the process printed, by name; 0 if it printed none of that name. */
  public int port(String name) {
    return ports.path(name).asInt();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Kills the process without a shutdown, like the loss of its VM, and waits for its end. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /**
   * Requests a graceful shutdown and returns the exit code. A process that is still running after
   * 30 s is killed, and the result is -1.
   */
  public int stop() {
    process.destroy();
    return awaitExit();
  }

  /** Suspends the process until {@link #resume}. */
  public void suspend() {
    signal("-STOP");
  }

  /** Resumes a suspended process. */
  public void resume() {
    signal("-CONT");
  }

  private void signal(String name) {
    try {
      int code = new ProcessBuilder("kill", name, Long.toString(process.pid())).start().waitFor();
      if (code != 0) {
        throw new IllegalStateException("kill " + name + " exited with code " + code);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int awaitExit() {
    try {
      if (!process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        return -1;
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  /** Returns true while the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
