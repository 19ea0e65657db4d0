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
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.landingtrack.internal.base.Json;

/**
 * Sends the prompts of a file, one after another, to the gateways round-robin. Each line of the
 * file is a JSON object: {@code system} names a file whose text starts the prompt, {@code question}
 * is the text after it, {@code pause_ms} is the delay before the prompt is sent (default 0), and
 * {@code max_tokens} limits the answer (default 16).
 */
final class SendCommand {
  private static final long READ_TIMEOUT_MS = 30_000;

  private SendCommand() {}

  static int run(CommandLine line) throws IOException, InterruptedException {
    Path file = Path.of(line.getOptionValue("file"));
    String[] gateways = line.getOptionValue("gateways").split(",", -1);
    CallerClient client = new CallerClient(READ_TIMEOUT_MS);
    int failed = 0;
    int number = 0;
    System.out.println("first line | time to first token | share recomputed | backend server | id");
    for (String promptLine : Files.readAllLines(file)) {
      if (promptLine.isBlank()) {
        continue;
      }
      JsonNode prompt = Json.LENIENT.readTree(promptLine);
      Thread.sleep(prompt.path("pause_ms").asLong(0));
      String system = Files.readString(file.resolveSibling(prompt.path("system").asText()));
      CallerClient.Answer answer =
          client.send(
              gateways[number++ % gateways.length],
              new CallerClient.PromptRequest(
                  line.getOptionValue("service"),
                  line.getOptionValue("key"),
                  system,
                  prompt.path("question").asText(),
                  prompt.path("max_tokens").asInt(16),
                  10_000,
                  false,
                  ""));
      print(answer);
      failed += answer.complete() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
  }

  private static void print(CallerClient.Answer answer) {
    if (!answer.complete()) {
      System.out.println("FAILED with " + answer.status() + " " + answer.kind());
      return;
    }
    double recomputed = 1 - (double) answer.cachedTokens() / Math.max(1, answer.promptTokens());
    System.out.printf(
        Locale.ROOT,
        "%s | %.0f ms | %.2f | %s | %s%n",
        answer.text().lines().findFirst().orElse(""),
        answer.ttftMs(),
        recomputed,
        answer.server(),
        answer.requestId());
  }
}
