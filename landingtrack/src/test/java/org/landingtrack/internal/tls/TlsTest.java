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

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.peer.Messages.MembersAnswer;
import org.landingtrack.internal.peer.Messages.MembersQuery;
import org.landingtrack.internal.peer.PeerClient;
import org.landingtrack.internal.peer.PeerException;
import org.landingtrack.internal.peer.PeerServer;
import org.landingtrack.internal.peer.PeerTransport;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which TLS files are rejected, which processes may connect to each other, and that
 * certificates are renewed without a restart.
 */
public final class TlsTest {
  private static final int CALL_TIMEOUT_MS = 5_000;
  private static final AtomicLong LAST_MODIFIED_MS = new AtomicLong(1_000_000);

  private Path folder = Path.of("");

  @BeforeClass
  public void setUp() throws IOException {
    folder = Files.createTempDirectory("tls");
    CertificateIssuer.createAuthority(folder.resolve("authority"), 10);
    CertificateIssuer.createAuthority(folder.resolve("foreign-authority"), 10);
    for (String vm : List.of("a", "b", "renewed")) {
      CertificateIssuer.issue(
          folder.resolve("authority"), vm, List.of("127.0.0.1"), 5, folder.resolve(vm));
    }
    CertificateIssuer.issue(
        folder.resolve("foreign-authority"),
        "foreign",
        List.of("127.0.0.1"),
        5,
        folder.resolve("foreign"));
    Files.writeString(folder.resolve("empty"), "");
    Files.writeString(folder.resolve("garbage"), "no PEM at all");
  }

  private TlsFiles files(String vm) {
    Path own = folder.resolve(vm);
    return new TlsFiles(
        own.resolve(CertificateIssuer.CERTIFICATE_FILE),
        own.resolve(CertificateIssuer.PRIVATE_KEY_FILE),
        own.resolve(CertificateIssuer.AUTHORITY_FILE));
  }

  @DataProvider
  public Object[][] badFiles() {
    return new Object[][] {
      {"absent", "b/private-key.pem", "a/authority.pem", "absent cannot be read"},
      {"empty", "a/private-key.pem", "a/authority.pem", "empty holds no certificate"},
      {"garbage", "a/private-key.pem", "a/authority.pem", "garbage holds no certificate in PEM"},
      {"a/certificate.pem", "absent", "a/authority.pem", "absent cannot be read"},
      {
        "a/certificate.pem",
        "garbage",
        "a/authority.pem",
        "garbage holds no private key in PEM (PKCS#8, not encrypted)"
      },
      {"a/certificate.pem", "empty", "a/authority.pem", "empty holds no private key in PEM"},
      {"a/certificate.pem", "b/private-key.pem", "a/authority.pem", "does not belong to"},
      {"a/certificate.pem", "a/private-key.pem", "garbage", "garbage holds no certificate in PEM"},
    };
  }

  @Test(dataProvider = "badFiles")
  public void errorsNameTheInvalidFile(
      String certificate, String key, String authority, String message) {
    TlsFiles files =
        new TlsFiles(folder.resolve(certificate), folder.resolve(key), folder.resolve(authority));
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> ReloadableTlsIdentity.load(files));
    assertTrue(String.valueOf(e.getMessage()).contains(message), e.getMessage());
  }

  private enum Side {
    OWN,
    FOREIGN,
    PLAIN
  }

  private PeerTransport sockets(Side side, String own) {
    return switch (side) {
      case OWN -> PeerTransport.tls(ReloadableTlsIdentity.load(files(own)).context());
      case FOREIGN -> PeerTransport.tls(ReloadableTlsIdentity.load(files("foreign")).context());
      case PLAIN -> PeerTransport.PLAIN;
    };
  }

  @DataProvider
  public Object[][] pairs() {
    return new Object[][] {
      // client, server, whether they connect
      {Side.OWN, Side.OWN, true},
      {Side.FOREIGN, Side.OWN, false},
      {Side.OWN, Side.FOREIGN, false},
      {Side.PLAIN, Side.OWN, false},
      {Side.OWN, Side.PLAIN, false},
      {Side.PLAIN, Side.PLAIN, true},
    };
  }

  @Test(dataProvider = "pairs")
  public void onlyProcessesOfOneAuthorityConnect(Side client, Side server, boolean connects) {
    try (PeerServer peer = server(sockets(server, "a"));
        PeerClient caller = new PeerClient(sockets(client, "b"))) {
      String address = "127.0.0.1:" + peer.port();
      if (connects) {
        assertEquals(queryMembers(caller, address).leaving(), List.of("seen"));
      } else {
        assertThrows(PeerException.class, () -> queryMembers(caller, address));
      }
    }
  }

  private static PeerServer server(PeerTransport sockets) {
    return PeerServer.open("127.0.0.1", 0, sockets)
        .on(MembersQuery.class, query -> new MembersAnswer(List.of(), List.of("seen")));
  }

  private static MembersAnswer queryMembers(PeerClient client, String address) {
    return client.call(address, new MembersQuery(), MembersAnswer.class, CALL_TIMEOUT_MS);
  }

  private void replaceFile(Path target, String vm, String file) throws IOException {
    Files.copy(
        folder.resolve(vm).resolve(file),
        target.resolve(file),
        StandardCopyOption.REPLACE_EXISTING);
    // File systems may store times in whole seconds.
    Files.setLastModifiedTime(
        target.resolve(file), FileTime.fromMillis(LAST_MODIFIED_MS.addAndGet(5_000)));
  }

  private void replaceAllFiles(Path target, String vm) throws IOException {
    replaceFile(target, vm, CertificateIssuer.AUTHORITY_FILE);
    replaceFile(target, vm, CertificateIssuer.CERTIFICATE_FILE);
    replaceFile(target, vm, CertificateIssuer.PRIVATE_KEY_FILE);
  }

  /**
   * A new certificate is not used before its key has been written too, and established connections
   * continue.
   */
  @Test
  public void aRenewalNeedsNoRestartAndAPartialRenewalIsIgnored() throws IOException {
    Path target = Files.createDirectory(folder.resolve("renewal"));
    replaceAllFiles(target, "foreign");
    ReloadableTlsIdentity identities = ReloadableTlsIdentity.load(files("renewal"));
    try (PeerServer peer = server(PeerTransport.tls(identities.context()));
        PeerClient before = new PeerClient(sockets(Side.FOREIGN, ""));
        PeerClient after = new PeerClient(sockets(Side.OWN, "b"))) {
      String address = "127.0.0.1:" + peer.port();
      queryMembers(before, address);
      replaceFile(target, "renewed", CertificateIssuer.AUTHORITY_FILE);
      replaceFile(target, "renewed", CertificateIssuer.CERTIFICATE_FILE);
      identities.reloadIfChanged();
      assertThrows(PeerException.class, () -> queryMembers(after, address));
      replaceFile(target, "renewed", CertificateIssuer.PRIVATE_KEY_FILE);
      identities.reloadIfChanged();
      assertEquals(queryMembers(after, address).leaving(), List.of("seen"));
      assertEquals(queryMembers(before, address).leaving(), List.of("seen"));
    }
  }

  @Test
  public void theIssuerReplacesNoFilesAndRestrictsPrivateKeys() throws IOException {
    assertThrows(
        LandingtrackException.class,
        () -> CertificateIssuer.createAuthority(folder.resolve("authority"), 10));
    assertEquals(
        Files.getPosixFilePermissions(folder.resolve("a/private-key.pem")),
        PosixFilePermissions.fromString("rw-------"));
  }
}
