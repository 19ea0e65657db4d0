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

/**
 * Names the PEM files with the TLS identity of a process.
 *
 * @param certificate the certificate of the process, followed by any intermediate certificates
 * @param privateKey the private key of that certificate in PKCS#8, not encrypted
 * @param authority the certificates of the trusted authorities
 */
public record TlsFiles(Path certificate, Path privateKey, Path authority) {

  /** Returns a value that changes when one of the files is replaced: their times and sizes. */
  String fingerprint() throws IOException {
    return fileFingerprint(certificate) + fileFingerprint(privateKey) + fileFingerprint(authority);
  }

  private static String fileFingerprint(Path file) throws IOException {
    return Files.getLastModifiedTime(file).toMillis() + "/" + Files.size(file) + " ";
  }
}
