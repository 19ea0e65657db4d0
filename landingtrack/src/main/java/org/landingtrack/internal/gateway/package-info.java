/** The gateway process: wiring and life cycle. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.gateway;
