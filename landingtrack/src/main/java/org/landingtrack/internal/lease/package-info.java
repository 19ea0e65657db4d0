/** Leases with fencing tokens, kept in the Object API. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.lease;
