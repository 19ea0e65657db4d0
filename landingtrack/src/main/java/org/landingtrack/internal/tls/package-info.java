/** Keys and certificates of processes and operators, read from files and renewed without a stop. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.tls;
