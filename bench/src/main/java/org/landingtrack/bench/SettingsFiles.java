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
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.landingtrack.internal.base.Hashes;
import org.landingtrack.internal.base.Json;
import org.landingtrack.internal.tls.CertificateIssuer;

/** Writes the settings and certificates of a deployment's processes to its directory. */
final class SettingsFiles {
  static final String OPERATOR_KEY = "operator";
  private static final String AUTHORITY = "authority";
  private static final int CERTIFICATE_DAYS = 10;

  private final DeploymentPlan plan;
  private final Path folder;

  SettingsFiles(DeploymentPlan plan, Path folder) {
    this.plan = plan;
    this.folder = folder;
    if (plan.tls()) {
      CertificateIssuer.createAuthority(folder.resolve(AUTHORITY), CERTIFICATE_DAYS);
    }
  }

  /**
   * Writes the settings of a controller. Its own peer port of 0 makes it choose a free one; another
   * controller's port of 0 is not known yet and not listed as a seed.
   */
  Path writeController(int index, List<Integer> peerPorts, String objectApi, String vmList) {
    ObjectNode settings = commonSettings("controller", index);
    ObjectNode ports = settings.putObject("ports");
    ports.put("peer", peerPorts.get(index)).put("operators", 0).put("http", 0);
    settings.putObject("platform").put("objectApi", objectApi).put("vmList", vmList);
    ArrayNode seeds = settings.putArray("seeds");
    for (int i = 0; i < peerPorts.size(); i++) {
      if (i != index && peerPorts.get(i) != 0) {
        seeds.add("127.0.0.1:" + peerPorts.get(i));
      }
    }
    settings
        .putArray("operators")
        .add("tester:writer:" + Hashes.sha256Hex(OPERATOR_KEY))
        .add("looker:reader:" + Hashes.sha256Hex("reader"));
    settings.putObject("membership").put("probeMs", plan.probeMs());
    return write("controller-" + index, settings);
  }

  /** Writes the settings of a gateway, which prefers the controller with its own index. */
  Path writeGateway(int index, int callerPort, List<Integer> peerPorts) {
    ObjectNode settings = commonSettings("gateway", index);
    settings.putObject("callers").put("port", callerPort);
    ArrayNode addresses = settings.putArray("controllers");
    for (int i = 0; i < peerPorts.size(); i++) {
      addresses.add("127.0.0.1:" + peerPorts.get((index + i) % peerPorts.size()));
    }
    settings.putObject("routing").put("policy", plan.policy()).put("seed", plan.seed());
    return write("gateway-" + index, settings);
  }

  private ObjectNode commonSettings(String process, int index) {
    ObjectNode settings = Json.LENIENT.createObjectNode();
    settings
        .put("process", process)
        .put("vm", "entry-" + index)
        .put("dataCentre", plan.dataCentre(index));
    if (plan.tls()) {
      String directory = process + "-" + index + "-tls";
      if (!Files.exists(folder.resolve(directory))) {
        issueCertificate(directory, CERTIFICATE_DAYS);
      }
      settings
          .putObject("tls")
          .put("certificate", directory + "/" + CertificateIssuer.CERTIFICATE_FILE)
          .put("privateKey", directory + "/" + CertificateIssuer.PRIVATE_KEY_FILE)
          .put("authority", directory + "/" + CertificateIssuer.AUTHORITY_FILE);
    }
    return settings;
  }

  private Path write(String name, ObjectNode settings) {
    Path file = folder.resolve(name + ".json");
    try {
      Files.writeString(file, settings.toString());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return file;
  }

  private void issueCertificate(String name, int days) {
    CertificateIssuer.issue(
        folder.resolve(AUTHORITY), name, List.of("127.0.0.1"), days, folder.resolve(name));
  }

  /** Replaces the certificate of a process: first the certificate file, then the private key. */
  void renewCertificate(String process, int index, int days) throws IOException {
    String directory = process + "-" + index + "-tls";
    String renewed = directory + "-" + days;
    issueCertificate(renewed, days);
    for (String file :
        List.of(CertificateIssuer.CERTIFICATE_FILE, CertificateIssuer.PRIVATE_KEY_FILE)) {
      Files.move(
          folder.resolve(renewed).resolve(file),
          folder.resolve(directory).resolve(file),
          StandardCopyOption.REPLACE_EXISTING);
    }
  }

  /** Returns the certificate file of the deployment's authority or of one that a test created. */
  Path authorityCertificate(String name) {
    return folder.resolve(name).resolve(CertificateIssuer.CERTIFICATE_FILE);
  }
}
