/** The audit trail of changes. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.audit;
