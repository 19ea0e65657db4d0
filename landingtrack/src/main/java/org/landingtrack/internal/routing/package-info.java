/** Selects the backend server of a request by estimated cost, with reasons. Does no I/O. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.routing;
