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
package org.landingtrack.internal.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.tls.HeldCertificate;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;

/**
 * Creates a certificate authority and the certificates of VMs, for deployments without an authority
 * of their own. Never replaces existing files.
 */
public final class CertificateIssuer {
  /** Name of the file with a certificate. */
  public static final String CERTIFICATE_FILE = "certificate.pem";

  /** Name of the file with a private key, which only its owner may read. */
  public static final String PRIVATE_KEY_FILE = "private-key.pem";

  /** Name of the file with the authority's certificate, written beside each issued certificate. */
  public static final String AUTHORITY_FILE = "authority.pem";

  private CertificateIssuer() {}

  /** Creates an authority, valid for a number of days, and writes its files to a folder. */
  public static void createAuthority(Path folder, int days) {
    HeldCertificate authority =
        new HeldCertificate.Builder()
            .commonName("landingtrack authority")
            .certificateAuthority(0)
            .duration(days, TimeUnit.DAYS)
            .build();
    writeNewFile(folder.resolve(CERTIFICATE_FILE), authority.certificatePem(), false);
    writeNewFile(folder.resolve(PRIVATE_KEY_FILE), authority.privateKeyPkcs8Pem(), true);
  }

  /**
   * Issues the certificate of a VM, valid for a number of days, and writes its files to a folder.
   *
   * @param addresses IP addresses at which operators connect to the VM
   */
  public static void issue(
      Path authorityFolder, String vm, List<String> addresses, int days, Path folder) {
    String authorityPem = read(authorityFolder.resolve(CERTIFICATE_FILE));
    HeldCertificate authority =
        HeldCertificate.decode(authorityPem + read(authorityFolder.resolve(PRIVATE_KEY_FILE)));
    HeldCertificate.Builder builder =
        new HeldCertificate.Builder()
            .commonName(vm)
            .signedBy(authority)
            .duration(days, TimeUnit.DAYS);
    addresses.forEach(builder::addSubjectAlternativeName);
    HeldCertificate issued = builder.build();
    writeNewFile(folder.resolve(CERTIFICATE_FILE), issued.certificatePem(), false);
    writeNewFile(folder.resolve(PRIVATE_KEY_FILE), issued.privateKeyPkcs8Pem(), true);
    writeNewFile(folder.resolve(AUTHORITY_FILE), authorityPem, false);
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new LandingtrackException(ErrorKind.NOT_FOUND, "cannot read file " + file);
    }
  }

  private static void writeNewFile(Path file, String text, boolean ownerOnly) {
    try {
      Path folder = file.toAbsolutePath().getParent();
      if (folder != null) {
        Files.createDirectories(folder);
      }
      Files.createFile(
          file,
          PosixFilePermissions.asFileAttribute(
              PosixFilePermissions.fromString(ownerOnly ? "rw-------" : "rw-r--r--")));
      Files.writeString(file, text, StandardOpenOption.WRITE);
    } catch (IOException e) {
      throw new LandingtrackException(
          ErrorKind.BAD_REQUEST,
          "cannot write file " + file + "; existing files are never replaced");
    }
  }
}
