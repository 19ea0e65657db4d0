/** Failure detection and membership of the controllers, by a SWIM protocol over UDP. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.membership;
