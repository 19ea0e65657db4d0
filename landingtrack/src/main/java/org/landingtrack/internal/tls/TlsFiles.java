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
 * Where a process finds its certificate, in PEM files.
 *
 * @param certificate its certificate and any intermediate ones, its own first
 * @param privateKey its private key in PKCS#8, not encrypted
 * @param authority the certificates whose signatures are believed
 */
public record TlsFiles(Path certificate, Path privateKey, Path authority) {

  /** Returns a value that changes when one of the files is replaced. */
  String fingerprint() throws IOException {
    return stamp(certificate) + stamp(privateKey) + stamp(authority);
  }

  private static String stamp(Path file) throws IOException {
    return Files.getLastModifiedTime(file).toMillis() + "/" + Files.size(file) + " ";
  }
}
