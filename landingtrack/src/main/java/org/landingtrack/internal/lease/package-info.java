/** Leases with fencing tokens, stored in the Object API. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.lease;
