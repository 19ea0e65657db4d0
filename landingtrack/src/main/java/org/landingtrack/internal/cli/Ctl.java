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

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.operators.v1.AuditEntry;
import org.landingtrack.operators.v1.AuditReply;
import org.landingtrack.operators.v1.AuditRequest;
import org.landingtrack.operators.v1.CatalogObject;
import org.landingtrack.operators.v1.DeleteRequest;
import org.landingtrack.operators.v1.ExplainReply;
import org.landingtrack.operators.v1.ExplainRequest;
import org.landingtrack.operators.v1.GetRequest;
import org.landingtrack.operators.v1.ListReply;
import org.landingtrack.operators.v1.ListRequest;
import org.landingtrack.operators.v1.PutReply;
import org.landingtrack.operators.v1.PutRequest;
import org.landingtrack.operators.v1.RolloutReply;
import org.landingtrack.operators.v1.RolloutRequest;
import org.landingtrack.operators.v1.StatusRequest;

/**
 * Implements the command {@code landingtrack ctl}, with which operators read and change the catalog
 * and the state of the system through a controller.
 */
final class Ctl {
  static final String VERBS =
      """
      verbs:
        apply FILE                 create or update every object in FILE
        get KIND NAME              show one object
        list KIND                  list the objects of a kind
        delete KIND NAME           delete one object
        drain NAME, undrain NAME   stop or resume new requests to a backend server
        load SERVICE VERSION       roll a service over to another weight version
        rollback SERVICE           roll a service back to its previous weight version
        status                     show a controller and the members that it knows
        explain SUBJECT            explain a request id or KIND/NAME
        audit [KIND]               show the last change of each object, newest first
        audit KIND NAME            show all changes of one object, newest first
      """;

  private static final JsonMapper JSON_MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
          .build();
  private static final Metadata.Key<String> KIND_METADATA =
      Metadata.Key.of("landingtrack-kind", Metadata.ASCII_STRING_MARSHALLER);
  private static final long ANY_VERSION = -1;
  private static final String SERVER_KIND = "backend-server";
  private static final String SERVICE_KIND = "service";

  private final OperatorClient client;
  private final PrintStream out;
  private final CtlPrinter printer;
  private final boolean dryRun;
  private final long expectedVersion;
  private final long waitMs;
  private final int limit;

  private Ctl(OperatorClient client, CommandLine commandLine, PrintStream out) {
    this.client = client;
    this.out = out;
    boolean json = commandLine.getOptionValue("output", "table").equals("json");
    this.printer = new CtlPrinter(out, json);
    this.dryRun = commandLine.hasOption("dry-run");
    this.expectedVersion = numberOption(commandLine, "expected-version", ANY_VERSION);
    this.waitMs = 1_000 * numberOption(commandLine, "wait", 0);
    this.limit = (int) numberOption(commandLine, "limit", 100);
  }

  static Options options() {
    return new Options()
        .addOption(
            optionWithArgument("controller", "ADDRESS", "address for operators of any controller"))
        .addOption(
            optionWithArgument(
                "key", "KEY", "operator key; default: the variable LANDINGTRACK_KEY"))
        .addOption(
            optionWithArgument(
                "ca", "FILE", "use TLS and trust this authority's certificate (PEM)"))
        .addOption(optionWithArgument("output", "FORMAT", "table or json"))
        .addOption(
            optionWithArgument("expected-version", "N", "fail unless this is the current version"))
        .addOption(
            optionWithArgument(
                "wait", "SECONDS", "wait until the change is in force on all live processes"))
        .addOption(optionWithArgument("limit", "N", "maximum number of entries; default 100"))
        .addOption(Option.builder().longOpt("dry-run").desc("validate, but change nothing").get());
  }

  private static Option optionWithArgument(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  private static long numberOption(CommandLine commandLine, String name, long defaultValue) {
    String text = commandLine.getOptionValue(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new UsageException("--" + name + " must be a whole number, not '" + text + "'");
    }
  }

  static int run(
      CommandLine commandLine, List<String> arguments, PrintStream out, PrintStream err) {
    if (arguments.isEmpty()) {
      throw new UsageException("no VERB is given\n" + VERBS);
    }
    String address = commandLine.getOptionValue("controller");
    if (address == null) {
      throw new UsageException("--controller ADDRESS is missing");
    }
    String key =
        commandLine.getOptionValue("key", System.getenv().getOrDefault("LANDINGTRACK_KEY", ""));
    try (OperatorClient client =
        new OperatorClient(address, key, commandLine.getOptionValue("ca", ""))) {
      return new Ctl(client, commandLine, out).runVerb(arguments);
    } catch (StatusRuntimeException e) {
      err.println("landingtrack ctl: " + describe(e));
      return ExitCodes.FAILED;
    }
  }

  private static String describe(StatusRuntimeException e) {
    Metadata trailers = Status.trailersFromThrowable(e);
    String kind = trailers == null ? null : trailers.get(KIND_METADATA);
    String description = e.getStatus().getDescription();
    String text = description == null ? e.getStatus().getCode().toString() : description;
    return (kind == null ? e.getStatus().getCode().toString() : kind) + ": " + text;
  }

  private int runVerb(List<String> arguments) {
    String verb = arguments.get(0);
    switch (verb) {
      case "apply" -> apply(Path.of(requiredArgument(arguments, 1, "FILE")));
      case "get" ->
          get(requiredArgument(arguments, 1, "KIND"), requiredArgument(arguments, 2, "NAME"));
      case "list" -> list(requiredArgument(arguments, 1, "KIND"));
      case "delete" ->
          delete(requiredArgument(arguments, 1, "KIND"), requiredArgument(arguments, 2, "NAME"));
      case "drain" -> drain(requiredArgument(arguments, 1, "NAME"), true);
      case "undrain" -> drain(requiredArgument(arguments, 1, "NAME"), false);
      case "load" ->
          load(
              requiredArgument(arguments, 1, "SERVICE"), requiredArgument(arguments, 2, "VERSION"));
      case "rollback" -> rollback(requiredArgument(arguments, 1, "SERVICE"));
      case "status" -> status();
      case "explain" -> {
        return explain(requiredArgument(arguments, 1, "SUBJECT"));
      }
      case "audit" -> audit(arguments);
      default -> throw new UsageException("unknown verb '" + verb + "'\n" + VERBS);
    }
    return ExitCodes.DONE;
  }

  private static String requiredArgument(List<String> arguments, int index, String name) {
    if (index >= arguments.size()) {
      throw new UsageException(arguments.get(0) + " needs " + name);
    }
    return arguments.get(index);
  }

  /**
   * Creates or updates the objects of a file in their order. The file holds {@code {"objects":
   * [{"kind": …, "name": …, "spec": {…}}, …]}}.
   */
  private void apply(Path file) {
    JsonNode root = readFile(file);
    JsonNode objects = root.path("objects");
    if (!objects.isArray()) {
      throw new UsageException(file + ": key 'objects' must hold a list of objects");
    }
    long revision = 0;
    for (JsonNode object : objects) {
      String kind = object.path("kind").asText();
      String name = object.path("name").asText();
      PutReply reply = put(kind, name, object.path("spec").toString(), expectedVersion);
      revision = Math.max(revision, reply.getRevision());
    }
    if (!dryRun) {
      awaitInForce(revision);
    }
  }

  private static JsonNode readFile(Path file) {
    try {
      return JSON_MAPPER.readTree(Files.readString(file));
    } catch (JsonProcessingException e) {
      throw new UsageException(
          file + ":" + e.getLocation().getLineNr() + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new UsageException(file + ": the file cannot be read");
    }
  }

  private PutReply put(String kind, String name, String spec, long requiredVersion) {
    CatalogObject object =
        CatalogObject.newBuilder().setKind(kind).setName(name).setSpecJson(spec).build();
    PutReply reply =
        client
            .stubWithDeadline()
            .put(
                PutRequest.newBuilder()
                    .setObject(object)
                    .setExpectedVersion(requiredVersion)
                    .setDryRun(dryRun)
                    .build());
    printer.printChange(kind, name, reply, dryRun);
    return reply;
  }

  private void awaitInForce(long revision) {
    if (waitMs == 0 || revision == 0) {
      return;
    }
    long startNanos = System.nanoTime();
    while (true) {
      RolloutReply reply =
          client
              .stubWithDeadline()
              .rollout(RolloutRequest.newBuilder().setRevision(revision).build());
      double seconds = (System.nanoTime() - startNanos) / 1e9;
      if (reply.getInForce() >= reply.getLive()) {
        out.printf(Locale.ROOT, "in force on all %d after %.1f s%n", reply.getLive(), seconds);
        return;
      }
      if (seconds * 1000 > waitMs) {
        out.printf(
            Locale.ROOT,
            "in force on %d of %d after %.1f s%n",
            reply.getInForce(),
            reply.getLive(),
            seconds);
        return;
      }
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private CatalogObject fetchObject(String kind, String name) {
    return client
        .stubWithDeadline()
        .get(GetRequest.newBuilder().setKind(kind).setName(name).build());
  }

  private void get(String kind, String name) {
    printer.printObject(fetchObject(kind, name));
  }

  private static JsonNode parseJson(String text) {
    try {
      return JSON_MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new UsageException(
          "the controller sent an object specification that is not valid JSON");
    }
  }

  private void list(String kind) {
    String lastName = "";
    int shown = 0;
    while (true) {
      ListReply reply =
          client
              .stubWithDeadline()
              .list(
                  ListRequest.newBuilder().setKind(kind).setAfter(lastName).setLimit(100).build());
      for (CatalogObject object : reply.getObjectsList()) {
        if (shown++ < limit) {
          printer.printObject(object);
        }
      }
      lastName = reply.getNext();
      if (lastName.isEmpty() || shown >= limit) {
        return;
      }
    }
  }

  private void delete(String kind, String name) {
    PutReply reply =
        client
            .stubWithDeadline()
            .delete(
                DeleteRequest.newBuilder()
                    .setKind(kind)
                    .setName(name)
                    .setExpectedVersion(expectedVersion)
                    .build());
    printer.printChange(kind, name, reply, dryRun);
    awaitInForce(reply.getRevision());
  }

  private void drain(String name, boolean draining) {
    CatalogObject object = fetchObject(SERVER_KIND, name);
    ObjectNode spec = (ObjectNode) parseJson(object.getSpecJson());
    spec.put("draining", draining);
    awaitInForce(put(SERVER_KIND, name, spec.toString(), object.getVersion()).getRevision());
  }

  private void load(String service, String version) {
    CatalogObject object = fetchObject(SERVICE_KIND, service);
    ObjectNode spec = (ObjectNode) parseJson(object.getSpecJson());
    spec.put("weightVersion", version);
    awaitInForce(put(SERVICE_KIND, service, spec.toString(), object.getVersion()).getRevision());
  }

  private void rollback(String service) {
    String current =
        parseJson(fetchObject(SERVICE_KIND, service).getSpecJson()).path("weightVersion").asText();
    for (AuditEntry entry : fetchAudit(SERVICE_KIND, service).getEntriesList()) {
      String specBefore = entry.getBefore().isEmpty() ? "{}" : entry.getBefore();
      String version = parseJson(specBefore).path("weightVersion").asText();
      if (!version.isEmpty() && !version.equals(current)) {
        load(service, version);
        return;
      }
    }
    throw new UsageException(
        "the audit trail of " + service + " has no weight version other than the current one");
  }

  private void status() {
    printer.printStatus(client.stubWithDeadline().status(StatusRequest.getDefaultInstance()));
  }

  private int explain(String subject) {
    ExplainReply reply =
        client.stubWithDeadline().explain(ExplainRequest.newBuilder().setSubject(subject).build());
    printer.printExplanation(subject, reply);
    return reply.getKnown() ? ExitCodes.DONE : ExitCodes.FAILED;
  }

  private AuditReply fetchAudit(String kind, String name) {
    return client
        .stubWithDeadline()
        .audit(AuditRequest.newBuilder().setKind(kind).setName(name).setLimit(limit).build());
  }

  private void audit(List<String> arguments) {
    String kind = arguments.size() < 2 ? "" : arguments.get(1);
    String name = arguments.size() < 3 ? "" : arguments.get(2);
    AuditReply reply = fetchAudit(kind, name);
    reply.getEntriesList().forEach(printer::printAuditEntry);
    if (!name.isEmpty() && !reply.getWhole()) {
      throw new LandingtrackException(
          ErrorKind.PLATFORM_UNAVAILABLE,
          "the platform does not answer; only the last change of the object is known");
    }
  }
}
