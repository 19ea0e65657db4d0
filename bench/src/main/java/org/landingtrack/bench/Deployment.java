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
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.cli.CommandLineProgram;
import org.landingtrack.standins.EngineServer;
import org.landingtrack.standins.ObjectApiServer;
import org.landingtrack.standins.PlainServer;
import org.landingtrack.standins.StoreServer;
import org.landingtrack.standins.VmListServer;
import org.landingtrack.standins.WeightStore;

/**
 * A small deployment on the loopback interface: gateways and controllers run as separate processes,
 * the stand-ins for backend servers and the platform run in this process.
 */
public final class Deployment implements AutoCloseable {
  /** Name of the service of type model. */
  public static final String LLM = "llm";

  /** Name of the service of type plain. */
  public static final String PORTAL = "portal";

  private static final long READY_TIMEOUT_S = 60;

  private final DeploymentPlan plan;
  private final Path folder;
  private final SettingsFiles settingsFiles;
  private final ObjectApiServer objectApi = new ObjectApiServer(0);
  private final VmListServer vmList = new VmListServer(0);
  private final WeightStore weightStore = new WeightStore();
  private final List<EngineServer> engines = new ArrayList<>();
  private final List<StoreServer> stores = new ArrayList<>();
  private final List<PlainServer> plainServers = new ArrayList<>();
  private final List<ChildProcess> controllers = new ArrayList<>();
  private final List<ChildProcess> gateways = new ArrayList<>();
  private final List<Integer> peerPorts = new ArrayList<>();
  private final List<Integer> callerPorts = new ArrayList<>();
  private final ProcessProbe probe = new ProcessProbe();

  private Deployment(DeploymentPlan plan) {
    this.plan = plan;
    try {
      this.folder = Files.createTempDirectory("deployment");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    this.settingsFiles = new SettingsFiles(plan, folder);
  }

  /** Starts a deployment and waits until its configuration is in force on all gateways. */
  public static Deployment start(DeploymentPlan plan) {
    Deployment deployment = new Deployment(plan);
    try {
      deployment.startAll();
      return deployment;
    } catch (RuntimeException e) {
      deployment.close();
      throw e;
    }
  }

  private void startAll() {
    for (int i = 0; i < plan.engines(); i++) {
      engines.add(new EngineServer(0, plan.engine(), weightStore));
    }
    for (int i = 0; i < plan.stores(); i++) {
      stores.add(new StoreServer(0, plan.store()));
    }
    for (int i = 0; i < plan.plainServers(); i++) {
      plainServers.add(new PlainServer("portal-" + i, 0));
    }
    peerPorts.addAll(Collections.nCopies(plan.controllers(), 0));
    controllers.addAll(startConcurrently(plan.controllers(), this::startController));
    for (int i = 0; i < plan.controllers(); i++) {
      peerPorts.set(i, controllers.get(i).port("peer"));
    }
    publishVmList(List.of());
    callerPorts.addAll(Collections.nCopies(plan.gateways(), 0));
    gateways.addAll(startConcurrently(plan.gateways(), this::startGateway));
    for (int i = 0; i < plan.gateways(); i++) {
      callerPorts.set(i, gateways.get(i).port("callers"));
    }
    applyObjects();
    awaitAllReady();
  }

  /** Starts processes concurrently; they discover each other through the VM list. */
  private static List<ChildProcess> startConcurrently(int count, IntFunction<ChildProcess> start) {
    List<CompletableFuture<ChildProcess>> futures = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int index = i;
      futures.add(CompletableFuture.supplyAsync(() -> start.apply(index)));
    }
    return futures.stream().map(CompletableFuture::join).toList();
  }

  private ChildProcess startController(int index) {
    Path file = settingsFiles.writeController(index, peerPorts, objectApi.url(), vmList.url());
    return startProcess("controller", index, file);
  }

  private ChildProcess startGateway(int index) {
    return startProcess(
        "gateway", index, settingsFiles.writeGateway(index, callerPorts.get(index), peerPorts));
  }

  private ChildProcess startProcess(String process, int index, Path settings) {
    Path log = folder.resolve(process + "-" + index + ".log");
    return ChildProcess.start(log, process, "--settings", settings.toString());
  }

  /**
   * Replaces the certificate of a process by one that is valid for a number of days: first the
   * certificate file, then the private key file.
   */
  public void renewCertificate(String process, int index, int days) throws IOException {
    settingsFiles.renewCertificate(process, index, days);
  }

  /** Returns the certificate file of a certificate authority in the deployment's directory. */
  public Path authorityCertificate(String name) {
    return settingsFiles.authorityCertificate(name);
  }

  /** Publishes a VM list with the entry VMs and the given backend servers, which are leaving. */
  public void publishVmList(List<String> leavingServers) {
    ArrayNode vms = Json.LENIENT.createArrayNode();
    for (int i = 0; i < peerPorts.size(); i++) {
      vms.addObject()
          .put("name", "entry-" + i)
          .put("role", "entry")
          .put("data_centre", plan.dataCentre(i))
          .put("region", "default")
          .put("address", "127.0.0.1:" + peerPorts.get(i))
          .put("state", "live");
    }
    for (String server : leavingServers) {
      vms.addObject()
          .put("name", server)
          .put("role", "backend-server")
          .put("data_centre", plan.dataCentre(0))
          .put("state", "leaving");
    }
    vmList.set(vms);
  }

  private void applyObjects() {
    ObjectNode document = Json.LENIENT.createObjectNode();
    ArrayNode objects = document.putArray("objects");
    plan.objects().forEach(objects::add);
    for (int i = 0; i < engines.size(); i++) {
      objects.add(serverObject("engine-" + i, LLM, engines.get(i).address(), i));
    }
    for (int i = 0; i < stores.size(); i++) {
      objects.add(serverObject("store-" + i, "kept", stores.get(i).address(), i));
    }
    for (int i = 0; i < plainServers.size(); i++) {
      objects.add(
          serverObject("portal-" + i, PORTAL, "127.0.0.1:" + plainServers.get(i).port(), i));
    }
    Path path = folder.resolve("objects.json");
    try {
      Files.writeString(path, document.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    await("controller 0 answers ctl status", () -> ctl(0, "status").code() == 0);
    CtlResult result = ctl(0, "apply", path.toString());
    if (result.code() != 0) {
      throw new IllegalStateException("apply failed: " + result.text());
    }
  }

  private ObjectNode serverObject(String name, String service, String address, int index) {
    ObjectNode object = Json.LENIENT.createObjectNode();
    object.put("kind", "backend-server").put("name", name);
    object
        .putObject("spec")
        .put("service", service)
        .put("address", address)
        .put("dataCentre", plan.dataCentre(index))
        .put("maxConcurrent", plan.engine().maxConcurrent())
        .put("checksFences", plan.engine().checksFences())
        .put("draining", false);
    return object;
  }

  /**
   * Waits until every gateway is ready, the controllers know each other, and every gateway has the
   * newest configuration.
   */
  public void awaitAllReady() {
    for (int i = 0; i < gateways.size(); i++) {
      awaitReady(i);
    }
    await("each live controller has all controllers as members", this::allMembersKnown);
    await(
        "the configuration is in force on all gateways",
        () -> {
          int servers = engines.size() + stores.size() + plainServers.size();
          CtlResult status = ctl(0, "--output", "json", "status");
          int objects = parseJson(status.text()).path("objects").asInt();
          long revision = parseJson(status.text()).path("revision").asLong();
          return objects >= servers + plan.objects().size() && gatewaysHaveRevision(revision);
        });
  }

  /** Waits until every live gateway has the configuration that a controller has in force. */
  public void awaitInForce(int controller) {
    long revision =
        parseJson(ctl(controller, "--output", "json", "status").text()).path("revision").asLong();
    await("the gateways have revision " + revision, () -> gatewaysHaveRevision(revision));
  }

  private boolean allMembersKnown() {
    for (ChildProcess controller : controllers) {
      String url = "http://127.0.0.1:" + controller.port("http");
      if (controller.isAlive() && metric(url, "members") < controllers.size()) {
        return false;
      }
    }
    return true;
  }

  private boolean gatewaysHaveRevision(long revision) {
    for (int i = 0; i < gateways.size(); i++) {
      if (gateways.get(i).isAlive() && metric(gatewayUrl(i), "config_revision") < revision) {
        return false;
      }
    }
    return true;
  }

  /** Waits until a gateway is ready. */
  public void awaitReady(int index) {
    await("gateway " + index + " is ready", () -> probe.isOk(gatewayUrl(index) + "/ready"));
  }

  /**
   * Waits for a condition; throws an {@link IllegalStateException} after 60 s. The limit is
   * generous: it only ends a failed test, no result depends on it.
   */
  public static void await(String what, BooleanSupplier condition) {
    long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNs) {
        throw new IllegalStateException(
            "condition not met after " + READY_TIMEOUT_S + " s: " + what);
      }
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IllegalStateException("interrupted");
      }
    }
  }

  /**
   * Returns a metric of a process, given with its labels and without the prefix {@code
   * landingtrack_}; -1 if the process does not answer or has no such metric.
   */
  public double metric(String url, String name) {
    return probe.metric(url, name);
  }

  static JsonNode parseJson(String text) {
    try {
      return Json.LENIENT.readTree(text.isBlank() ? "{}" : text);
    } catch (IOException e) {
      return Json.LENIENT.createObjectNode();
    }
  }

  /** Output and exit code of a call of {@code landingtrack ctl}. */
  public record CtlResult(int code, String text) {}

  /** Runs {@code ctl} against a controller with the key of an operator with the role writer. */
  public CtlResult ctl(int controller, String... arguments) {
    return ctlWithKey(SettingsFiles.OPERATOR_KEY, controller, arguments);
  }

  /** Runs {@code ctl} against a controller with a given operator key. */
  public CtlResult ctlWithKey(String key, int controller, String... arguments) {
    List<String> args = new ArrayList<>(List.of("--key", key));
    if (plan.tls()) {
      args.addAll(List.of("--ca", authorityCertificate("authority").toString()));
    }
    args.addAll(List.of(arguments));
    return ctlWithArguments(controller, args);
  }

  /** Runs {@code ctl} against a controller without adding a key or certificate authority. */
  public CtlResult ctlWithArguments(int controller, List<String> arguments) {
    List<String> args = new ArrayList<>(List.of("ctl", "--controller"));
    args.add("127.0.0.1:" + controllers.get(controller).port("operators"));
    args.addAll(arguments);
    ByteArrayOutputStream outputBytes = new ByteArrayOutputStream();
    PrintStream output = new PrintStream(outputBytes, true, StandardCharsets.UTF_8);
    int code = new CommandLineProgram(output, output).run(args.toArray(new String[0]));
    return new CtlResult(code, outputBytes.toString(StandardCharsets.UTF_8));
  }

  /** Kills a controller and starts it again with the same peer port and VM name. */
  public void restartController(int index) {
    controllers.get(index).close();
    controllers.set(index, startController(index));
  }

  /** Kills a gateway and starts it again on the same port. */
  public void restartGateway(int index) {
    gateways.get(index).close();
    gateways.set(index, startGateway(index));
  }

  /** Starts the controller of a further entry VM and returns its index. */
  public int addController() {
    int index = controllers.size();
    peerPorts.add(0);
    controllers.add(startController(index));
    peerPorts.set(index, controllers.get(index).port("peer"));
    return index;
  }

  public String gatewayUrl(int index) {
    return "http://127.0.0.1:" + callerPorts.get(index);
  }

  public String controllerUrl(int index) {
    return "http://127.0.0.1:" + controllers.get(index).port("http");
  }

  public ChildProcess gateway(int index) {
    return gateways.get(index);
  }

  public ChildProcess controller(int index) {
    return controllers.get(index);
  }

  public int gatewayCount() {
    return gateways.size();
  }

  public int controllerCount() {
    return controllers.size();
  }

  public List<EngineServer> engines() {
    return engines;
  }

  public List<StoreServer> stores() {
    return stores;
  }

  public List<PlainServer> plainServers() {
    return plainServers;
  }

  public ObjectApiServer objectApi() {
    return objectApi;
  }

  public VmListServer vmList() {
    return vmList;
  }

  public WeightStore weightStore() {
    return weightStore;
  }

  public Path folder() {
    return folder;
  }

  @Override
  public void close() {
    gateways.forEach(ChildProcess::close);
    controllers.forEach(ChildProcess::close);
    engines.forEach(EngineServer::close);
    stores.forEach(StoreServer::close);
    plainServers.forEach(PlainServer::close);
    objectApi.close();
    vmList.close();
  }
}
