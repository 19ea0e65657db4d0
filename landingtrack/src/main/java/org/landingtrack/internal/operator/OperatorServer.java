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
package org.landingtrack.internal.operator;

import io.grpc.Server;
import io.grpc.ServerInterceptors;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import org.landingtrack.ErrorKind;
import org.landingtrack.LandingtrackException;
import org.landingtrack.internal.base.BoundedWorker;
import org.landingtrack.internal.tls.ReloadableTlsIdentity;

/** Serves the operators' gRPC interface on a TCP port. Thread-safe. */
public final class OperatorServer implements AutoCloseable {
  private static final int THREADS = 8;

  private final Server server;

  private OperatorServer(Server server) {
    this.server = server;
  }

  /**
   * Starts a server.
   *
   * @param port port to listen on; 0 selects a free one
   * @param operators entries {@code name:role:sha256-of-key}
   * @param tls certificate that the server presents; empty to serve without TLS
   */
  public static OperatorServer open(
      String host,
      int port,
      OperatorService service,
      List<String> operators,
      Optional<ReloadableTlsIdentity> tls) {
    try {
      NettyServerBuilder builder =
          NettyServerBuilder.forAddress(new InetSocketAddress(host, port))
              .executor(
                  Executors.newFixedThreadPool(
                      THREADS, BoundedWorker.daemonThreadFactory("operator")))
              .addService(ServerInterceptors.intercept(service, new OperatorAuth(operators)));
      if (tls.isPresent()) {
        SslContextBuilder ssl = SslContextBuilder.forServer(tls.get().keyManager());
        builder.sslContext(GrpcSslContexts.configure(ssl).build());
      }
      return new OperatorServer(builder.build().start());
    } catch (IOException e) {
      throw new LandingtrackException(
          ErrorKind.INTERNAL, "cannot listen for operators on " + host + ":" + port, e);
    }
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return server.getPort();
  }

  @Override
  public void close() {
    server.shutdown();
  }
}
