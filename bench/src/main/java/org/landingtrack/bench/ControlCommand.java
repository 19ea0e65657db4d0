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

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.landingtrack.internal.base.Json;

/**
 * Measures CPU share, heap and platform calls of real controller processes, idle and under
 * configuration changes, for a given number of configuration objects.
 */
final class ControlCommand {
  private static final double CHANGES_PER_SECOND = 1;
  private static final int WARM_UP_S = 8;

  private ControlCommand() {}

  static int run(CommandLine line) throws InterruptedException {
    int objects = Integer.parseInt(line.getOptionValue("objects", "1000"));
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "15"));
    DeploymentPlan plan =
        new DeploymentPlan.Builder().setControllers(4).setGateways(4).setEngines(4).build();
    try (Deployment deployment = Deployment.start(plan)) {
      writeObjects(deployment, objects);
      Thread.sleep(WARM_UP_S * 1_000L);
      ObjectNode result = Json.LENIENT.createObjectNode();
      result.put("objects", objects).put("controllers", 4);
      result.set("at_rest", measure(deployment, seconds, 0));
      result.set("one_change_a_second", measure(deployment, seconds, CHANGES_PER_SECOND));
      System.out.println(result);
    }
    return 0;
  }

  /** Writes models that nothing depends on; they stand in for objects of any kind. */
  private static void writeObjects(Deployment deployment, int objects) {
    for (int i = 0; i < objects; i++) {
      deployment
          .objectApi()
          .store()
          .write(
              "config/model/filler-" + i,
              "{\"kind\":\"MODEL\",\"name\":\"filler-"
                  + i
                  + "\",\"version\":1,\"spec\":{\"contextTokens\":1,\"kvBytesPerToken\":1},"
                  + "\"audit\":[{\"changeId\":\"5d449de5-6aa5-44ad-8514-66fcd59accd2\","
                  + "\"atMs\":1700000000000,\"operator\":\"o\",\"from\":\"f\",\"action\":\"create\","
                  + "\"version\":1}]}",
              0);
    }
  }

  private static ObjectNode measure(Deployment deployment, int seconds, double changesPerSecond)
      throws InterruptedException {
    double[] cpuBefore = cpuSeconds(deployment);
    long[] callsBefore = deployment.objectApi().callCounts();
    for (int second = 0; second < seconds; second++) {
      if (changesPerSecond > 0) {
        applyChange(deployment, second);
      }
      Thread.sleep(1_000);
    }
    double[] cpuAfter = cpuSeconds(deployment);
    long[] calls = deployment.objectApi().callCounts();
    ObjectNode result = Json.LENIENT.createObjectNode();
    ArrayNode shares = result.putArray("core_percent_by_controller");
    ArrayNode heap = result.putArray("heap_mb_by_controller");
    for (int i = 0; i < cpuAfter.length; i++) {
      shares.add(Math.round((cpuAfter[i] - cpuBefore[i]) / seconds * 10_000) / 100.0);
      heap.add(
          Math.round(deployment.metric(deployment.controllerUrl(i), "heap_bytes") / 1e5) / 10.0);
    }
    result.put("platform_reads_per_second", (calls[0] - callsBefore[0]) / (double) seconds);
    result.put("platform_writes_per_second", (calls[1] - callsBefore[1]) / (double) seconds);
    return result;
  }

  private static void applyChange(Deployment deployment, int number) {
    ObjectNode document = Json.LENIENT.createObjectNode();
    ObjectNode object = document.putArray("objects").addObject();
    object.put("kind", "model").put("name", "changing");
    object.putObject("spec").put("contextTokens", number + 1).put("kvBytesPerToken", 1);
    Path path = deployment.folder().resolve("change.json");
    try {
      Files.writeString(path, document.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    Deployment.CtlResult result = deployment.ctl(0, "apply", path.toString());
    if (result.code() != 0) {
      throw new IllegalStateException(result.text());
    }
  }

  private static double[] cpuSeconds(Deployment deployment) {
    double[] seconds = new double[deployment.controllerCount()];
    for (int i = 0; i < seconds.length; i++) {
      seconds[i] = deployment.metric(deployment.controllerUrl(i), "cpu_seconds");
    }
    return seconds;
  }
}
