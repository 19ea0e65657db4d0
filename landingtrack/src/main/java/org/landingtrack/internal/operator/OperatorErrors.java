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

import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import org.landingtrack.LandingtrackException;

/**
 * Converts errors to gRPC statuses. The status code of each error kind is defined in {@link
 * org.landingtrack.ErrorKind}; the kind itself is sent as the trailer {@code landingtrack-kind}.
 */
final class OperatorErrors {
  static final Metadata.Key<String> KIND_METADATA =
      Metadata.Key.of("landingtrack-kind", Metadata.ASCII_STRING_MARSHALLER);

  private OperatorErrors() {}

  static StatusRuntimeException toStatusException(LandingtrackException e) {
    Metadata trailers = new Metadata();
    trailers.put(KIND_METADATA, e.kind().name());
    Status status = Status.fromCode(Status.Code.valueOf(e.kind().grpcCode()));
    return status.withDescription(e.getMessage()).asRuntimeException(trailers);
  }
}
