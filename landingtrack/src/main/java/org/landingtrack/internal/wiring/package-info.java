/** Dependency injection of the objects that gateways and controllers have in common. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.wiring;
