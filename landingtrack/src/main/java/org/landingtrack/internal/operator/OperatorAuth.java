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

import io.grpc.Context;
import io.grpc.Contexts;
import io.grpc.Grpc;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.landingtrack.ErrorKind;
import org.landingtrack.internal.base.Hashes;

/**
 * Authenticates operators by the gRPC metadata entry {@code operator-key}, and puts the operator
 * into the context of the call. Thread-safe.
 */
final class OperatorAuth implements ServerInterceptor {
  static final Context.Key<Operator> OPERATOR_CONTEXT_KEY = Context.key("operator");
  static final Metadata.Key<String> OPERATOR_KEY_METADATA =
      Metadata.Key.of("operator-key", Metadata.ASCII_STRING_MARSHALLER);
  private static final String WRITER_ROLE = "writer";

  private record KnownOperator(String name, boolean canWrite) {}

  private final Map<String, KnownOperator> operatorsByKeyHash = new HashMap<>();

  /**
   * Creates an interceptor that accepts these operators.
   *
   * @param operators entries {@code name:role:sha256-of-key}, with the role reader or writer and
   *     the hash in hexadecimal digits; the settings check their format
   */
  OperatorAuth(List<String> operators) {
    for (String operator : operators) {
      String[] fields = operator.split(":", -1);
      operatorsByKeyHash.put(
          fields[2], new KnownOperator(fields[0], fields[1].equals(WRITER_ROLE)));
    }
  }

  @Override
  public <Q, A> ServerCall.Listener<Q> interceptCall(
      ServerCall<Q, A> call, Metadata headers, ServerCallHandler<Q, A> next) {
    @Nullable String key = headers.get(OPERATOR_KEY_METADATA);
    @Nullable KnownOperator knownOperator =
        key == null ? null : operatorsByKeyHash.get(Hashes.sha256Hex(key));
    if (knownOperator == null) {
      Metadata trailers = new Metadata();
      trailers.put(OperatorErrors.KIND_METADATA, ErrorKind.UNAUTHENTICATED.name());
      call.close(
          Status.UNAUTHENTICATED.withDescription("the operator key is missing or not known"),
          trailers);
      return new ServerCall.Listener<Q>() {};
    }
    @Nullable Object address = call.getAttributes().get(Grpc.TRANSPORT_ATTR_REMOTE_ADDR);
    Operator operator =
        new Operator(knownOperator.name, knownOperator.canWrite, String.valueOf(address));
    Context context = Context.current().withValue(OPERATOR_CONTEXT_KEY, operator);
    return Contexts.interceptCall(context, call, headers, next);
  }
}
