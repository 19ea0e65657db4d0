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
package org.landingtrack.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.landingtrack.internal.base.Logs;
import org.landingtrack.internal.controller.ControllerProcess;
import org.landingtrack.internal.gateway.GatewayProcess;
import org.landingtrack.internal.settings.ControllerSettings;
import org.landingtrack.internal.settings.EntrySettings;
import org.landingtrack.internal.settings.GatewaySettings;
import org.landingtrack.internal.tls.ReloadableTlsIdentity;
import org.landingtrack.internal.tls.TlsFiles;
import org.slf4j.LoggerFactory;

/** Runs gateway and controller processes, and checks the settings of all kinds of processes. */
final class ProcessCommand {
  private static final JsonMapper JSON_MAPPER =
      JsonMapper.builder()
          .enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();

  private ProcessCommand() {}

  /** Starts a gateway and waits until it has stopped. */
  static int gateway(Path file) throws InterruptedException {
    GatewaySettings settings = GatewaySettings.read(file);
    Logs.configure(settings.logFormat(), settings.logLevel());
    GatewayProcess process = GatewayProcess.start(settings);
    System.out.println("{\"callers\":" + process.port() + "}");
    stopOnSignal(process);
    process.await();
    return ExitCodes.DONE;
  }

  /** Starts a controller and waits until it has stopped. */
  static int controller(Path file) throws InterruptedException {
    ControllerSettings settings = ControllerSettings.read(file);
    Logs.configure(settings.logFormat(), settings.logLevel());
    ControllerProcess process = ControllerProcess.start(settings);
    System.out.printf(
        "{\"peer\":%d,\"operators\":%d,\"http\":%d}%n",
        process.peerPort(), process.operatorsPort(), process.httpPort());
    stopOnSignal(process);
    process.await();
    return ExitCodes.DONE;
  }

  /**
   * Stops the process on a signal. Halts the JVM with exit code 0 after a planned stop, because its
   * own exit code would report that a signal ended the process.
   */
  private static void stopOnSignal(AutoCloseable process) {
    Runnable stop =
        () -> {
          try {
            process.close();
            Runtime.getRuntime().halt(ExitCodes.DONE);
          } catch (Exception e) {
            LoggerFactory.getLogger("stop").error("Stopping the process failed.", e);
            Runtime.getRuntime().halt(ExitCodes.FAILED);
          }
        };
    Runtime.getRuntime().addShutdownHook(new Thread(stop, "stop"));
  }

  /**
   * Checks a settings file. The key {@code process} in the file selects the kind of process, so
   * that one command checks all kinds.
   */
  static int check(Path file) {
    String kind = readProcessKind(file);
    if (kind.equals("entry")) {
      // The load balancer terminates the TLS of callers; entry settings have no TLS section.
      var unused = EntrySettings.read(file);
      return printOk(file);
    }
    TlsFiles tls =
        kind.equals("gateway")
            ? GatewaySettings.read(file).tls()
            : ControllerSettings.read(file).tls();
    if (tls != null) {
      var unused = ReloadableTlsIdentity.load(tls);
    }
    return printOk(file);
  }

  private static int printOk(Path file) {
    System.out.println(file + ": ok");
    return ExitCodes.DONE;
  }

  private static String readProcessKind(Path file) {
    try {
      JsonNode tree = JSON_MAPPER.readTree(Files.readString(file));
      return tree == null ? "" : tree.path("process").asText();
    } catch (IOException e) {
      // The validation that follows reports the error with its line.
      return "";
    }
  }
}
