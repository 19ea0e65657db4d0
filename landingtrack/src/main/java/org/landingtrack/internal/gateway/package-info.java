/** The gateway process: dependency injection, life cycle and calls to the controllers. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.gateway;
