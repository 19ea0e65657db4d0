/** Clients of backend servers: model engines and plain HTTP services. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.engine;
