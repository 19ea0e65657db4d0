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

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import org.landingtrack.internal.base.Json;
import org.landingtrack.operators.v1.AuditEntry;
import org.landingtrack.operators.v1.CatalogObject;
import org.landingtrack.operators.v1.ExplainReply;
import org.landingtrack.operators.v1.Member;
import org.landingtrack.operators.v1.PutReply;
import org.landingtrack.operators.v1.StatusReply;

/** Prints a controller's answers: as a table for people, or as JSON with one object per line. */
final class CtlPrinter {
  private final PrintStream out;
  private final boolean json;

  CtlPrinter(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  private static ObjectNode newNode() {
    return Json.LENIENT.createObjectNode();
  }

  void printObject(CatalogObject object) {
    String name = object.getKind() + "/" + object.getName();
    if (!json) {
      out.printf("%-40s %4d  %s%n", name, object.getVersion(), object.getSpecJson());
      return;
    }
    ObjectNode node = newNode();
    node.put("kind", object.getKind());
    node.put("name", object.getName());
    node.put("version", object.getVersion());
    node.put("revision", object.getRevision());
    node.set("spec", Json.read(name, object.getSpecJson(), ObjectNode.class));
    out.println(node);
  }

  void printChange(String kind, String name, PutReply reply, boolean dryRun) {
    if (!json) {
      String outcome =
          !reply.getChanged()
              ? "unchanged"
              : dryRun ? "would change" : "changed by " + reply.getChangeId();
      out.println(kind + "/" + name + " version " + reply.getVersion() + " " + outcome);
      if (reply.getChanged()) {
        diffLines(kind + "/" + name, reply).forEach(line -> out.println("  " + line));
      }
      return;
    }
    ObjectNode node = newNode();
    node.put("kind", kind);
    node.put("name", name);
    node.put("version", reply.getVersion());
    node.put("revision", reply.getRevision());
    node.put("change_id", reply.getChangeId());
    node.put("changed", reply.getChanged());
    diffLines(kind + "/" + name, reply).forEach(node.putArray("diff")::add);
    out.println(node);
  }

  private static List<String> diffLines(String name, PutReply reply) {
    return SpecDiff.lines(
        parseSpec(name, reply.getBeforeJson()), parseSpec(name, reply.getAfterJson()));
  }

  private static ObjectNode parseSpec(String name, String json) {
    return json.isEmpty() ? newNode() : Json.read(name, json, ObjectNode.class);
  }

  void printStatus(StatusReply reply) {
    if (json) {
      printStatusAsJson(reply);
      return;
    }
    out.println("controller   " + reply.getVm() + " in " + reply.getDataCentre());
    out.println("revision     " + reply.getRevision() + ", " + reply.getObjects() + " objects");
    out.println("platform     " + (reply.getPlatformReachable() ? "answers" : "does not answer"));
    for (Member member : reply.getMembersList()) {
      out.printf(
          "member       %-24s %-20s %s%n",
          member.getVm(), member.getDataCentre(), member.getState());
    }
  }

  private void printStatusAsJson(StatusReply reply) {
    ObjectNode node = newNode();
    node.put("vm", reply.getVm());
    node.put("data_centre", reply.getDataCentre());
    node.put("revision", reply.getRevision());
    node.put("objects", reply.getObjects());
    node.put("platform_reachable", reply.getPlatformReachable());
    for (Member member : reply.getMembersList()) {
      node.withArray("members")
          .addObject()
          .put("vm", member.getVm())
          .put("data_centre", member.getDataCentre())
          .put("state", member.getState())
          .put("incarnation", member.getIncarnation());
    }
    out.println(node);
  }

  void printExplanation(String subject, ExplainReply reply) {
    if (!reply.getKnown()) {
      out.println("Nothing is known about " + subject + " (any more).");
      return;
    }
    if (json) {
      ObjectNode node = newNode();
      reply.getSentencesList().forEach(node.withArray("sentences")::add);
      out.println(node);
      return;
    }
    reply.getSentencesList().forEach(out::println);
  }

  void printAuditEntry(AuditEntry entry) {
    Instant at = Instant.ofEpochMilli(entry.getAtMs());
    if (!json) {
      out.printf(
          "%s  %-12s %-7s %-36s version %d  %s%n",
          at,
          entry.getOperator(),
          entry.getAction(),
          entry.getSubject(),
          entry.getVersion(),
          entry.getChangeId());
      return;
    }
    ObjectNode node = newNode();
    node.put("change_id", entry.getChangeId());
    node.put("at", at.toString());
    node.put("operator", entry.getOperator());
    node.put("from", entry.getFrom());
    node.put("subject", entry.getSubject());
    node.put("action", entry.getAction());
    node.put("version", entry.getVersion());
    node.put("before", entry.getBefore());
    node.put("after", entry.getAfter());
    out.println(node);
  }
}
