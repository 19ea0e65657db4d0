/** Which backend servers hold which prefixes; a hint that can be rebuilt. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.directory;
