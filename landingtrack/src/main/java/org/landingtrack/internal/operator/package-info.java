/** The gRPC interface of operators: configuration changes, audit trail, status, explanations. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.operator;
