/** At-most-once claims of request keys, committed in batches. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.claim;
