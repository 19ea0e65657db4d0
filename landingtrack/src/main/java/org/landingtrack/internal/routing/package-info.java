/** Where a request runs: candidates, costs and reasons. Does no I/O. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.routing;
