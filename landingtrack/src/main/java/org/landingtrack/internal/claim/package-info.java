/** At-most-once claims of request keys, committed in groups. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.claim;
