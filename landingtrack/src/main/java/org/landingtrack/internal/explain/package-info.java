/** What was decided and why, kept in bounded memory. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.explain;
