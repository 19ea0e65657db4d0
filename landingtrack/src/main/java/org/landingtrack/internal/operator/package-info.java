/** The operators' gRPC interface. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.operator;
