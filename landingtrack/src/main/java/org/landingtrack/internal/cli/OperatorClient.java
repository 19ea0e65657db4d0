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

import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import io.grpc.stub.MetadataUtils;
import java.io.File;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLException;
import org.landingtrack.internal.base.Addresses;
import org.landingtrack.operators.v1.OperatorsGrpc;
import org.landingtrack.operators.v1.OperatorsGrpc.OperatorsBlockingStub;

/** Calls the operators' gRPC interface of one controller. */
final class OperatorClient implements AutoCloseable {
  private static final Metadata.Key<String> OPERATOR_KEY_METADATA =
      Metadata.Key.of("operator-key", Metadata.ASCII_STRING_MARSHALLER);
  private static final long CALL_TIMEOUT_S = 30;

  private final ManagedChannel channel;
  private final OperatorsBlockingStub stub;

  /**
   * Creates a client of a controller; the connection is opened by the first call.
   *
   * @param authority PEM file with the trusted certificates; empty connects without TLS
   */
  OperatorClient(String address, String operatorKey, String authority) {
    InetSocketAddress target;
    try {
      target = Addresses.parse(address);
    } catch (IllegalArgumentException e) {
      throw new UsageException("--controller is " + e.getMessage());
    }
    this.channel = channel(target, authority);
    Metadata headers = new Metadata();
    headers.put(OPERATOR_KEY_METADATA, operatorKey);
    this.stub =
        OperatorsGrpc.newBlockingStub(channel)
            .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers));
  }

  private static ManagedChannel channel(InetSocketAddress target, String authority) {
    NettyChannelBuilder builder = NettyChannelBuilder.forAddress(target);
    if (authority.isEmpty()) {
      return builder.usePlaintext().build();
    }
    try {
      SslContextBuilder ssl = GrpcSslContexts.forClient().trustManager(new File(authority));
      return builder.sslContext(ssl.build()).build();
    } catch (SSLException | IllegalArgumentException e) {
      throw new UsageException("--ca " + authority + " is not a file with a certificate in PEM");
    }
  }

  /** Returns a stub whose next call must be answered within {@link #CALL_TIMEOUT_S} seconds. */
  OperatorsBlockingStub stubWithDeadline() {
    return stub.withDeadlineAfter(CALL_TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    channel.shutdownNow();
  }
}
