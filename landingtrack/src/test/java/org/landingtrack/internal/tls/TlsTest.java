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
import org.landingtrack.internal.peer.PeerSockets;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which TLS files are rejected, which processes may connect to each other, and that
 * certificates are renewed without a restart.
 */
public final class TlsTest {
  private static final int CALL_MS = 5_000;
  private static final AtomicLong MODIFIED = new AtomicLong(1_000_000);

  private Path folder = Path.of("");

  @BeforeClass
  public void makeCertificates() throws IOException {
    folder = Files.createTempDirectory("tls");
    CertificateIssuer.newAuthority(folder.resolve("authority"), 10);
    CertificateIssuer.newAuthority(folder.resolve("foreign-authority"), 10);
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
        own.resolve(CertificateIssuer.CERTIFICATE),
        own.resolve(CertificateIssuer.PRIVATE_KEY),
        own.resolve(CertificateIssuer.AUTHORITY));
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
  public void aBadFileIsNamed(String certificate, String key, String authority, String message) {
    TlsFiles files =
        new TlsFiles(folder.resolve(certificate), folder.resolve(key), folder.resolve(authority));
    LandingtrackException e =
        expectThrows(LandingtrackException.class, () -> TlsIdentities.load(files));
    assertTrue(String.valueOf(e.getMessage()).contains(message), e.getMessage());
  }

  private enum Side {
    OWN,
    FOREIGN,
    PLAIN
  }

  private PeerSockets sockets(Side side, String own) {
    return switch (side) {
      case OWN -> PeerSockets.tls(TlsIdentities.load(files(own)).context());
      case FOREIGN -> PeerSockets.tls(TlsIdentities.load(files("foreign")).context());
      case PLAIN -> PeerSockets.PLAIN;
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
  public void onlyProcessesOfOneAuthorityTalk(Side client, Side server, boolean connects) {
    try (PeerServer peer = server(sockets(server, "a"));
        PeerClient caller = new PeerClient(sockets(client, "b"))) {
      String address = "127.0.0.1:" + peer.port();
      if (connects) {
        assertEquals(ask(caller, address).leaving(), List.of("seen"));
      } else {
        assertThrows(PeerException.class, () -> ask(caller, address));
      }
    }
  }

  private static PeerServer server(PeerSockets sockets) {
    return PeerServer.open("127.0.0.1", 0, sockets)
        .on(MembersQuery.class, query -> new MembersAnswer(List.of(), List.of("seen")));
  }

  private static MembersAnswer ask(PeerClient client, String address) {
    return client.call(address, new MembersQuery(), MembersAnswer.class, CALL_MS);
  }

  private void replace(Path target, String vm, String file) throws IOException {
    Files.copy(
        folder.resolve(vm).resolve(file),
        target.resolve(file),
        StandardCopyOption.REPLACE_EXISTING);
    // File systems may store times in whole seconds.
    Files.setLastModifiedTime(target.resolve(file), FileTime.fromMillis(MODIFIED.addAndGet(5_000)));
  }

  private void replaceAll(Path target, String vm) throws IOException {
    replace(target, vm, CertificateIssuer.AUTHORITY);
    replace(target, vm, CertificateIssuer.CERTIFICATE);
    replace(target, vm, CertificateIssuer.PRIVATE_KEY);
  }

  /**
   * A new certificate is not used before its key has been written too, and established connections
   * continue.
   */
  @Test
  public void aRenewalNeedsNoStopAndAHalfRenewalChangesNothing() throws IOException {
    Path target = Files.createDirectory(folder.resolve("renewal"));
    replaceAll(target, "foreign");
    TlsIdentities identities = TlsIdentities.load(files("renewal"));
    try (PeerServer peer = server(PeerSockets.tls(identities.context()));
        PeerClient before = new PeerClient(sockets(Side.FOREIGN, ""));
        PeerClient after = new PeerClient(sockets(Side.OWN, "b"))) {
      String address = "127.0.0.1:" + peer.port();
      ask(before, address);
      replace(target, "renewed", CertificateIssuer.AUTHORITY);
      replace(target, "renewed", CertificateIssuer.CERTIFICATE);
      identities.reloadIfChanged();
      assertThrows(PeerException.class, () -> ask(after, address));
      replace(target, "renewed", CertificateIssuer.PRIVATE_KEY);
      identities.reloadIfChanged();
      assertEquals(ask(after, address).leaving(), List.of("seen"));
      assertEquals(ask(before, address).leaving(), List.of("seen"));
    }
  }

  @Test
  public void theIssuerReplacesNothingAndKeepsKeysPrivate() throws IOException {
    assertThrows(
        LandingtrackException.class,
        () -> CertificateIssuer.newAuthority(folder.resolve("authority"), 10));
    assertEquals(
        Files.getPosixFilePermissions(folder.resolve("a/private-key.pem")),
        PosixFilePermissions.fromString("rw-------"));
  }
}
