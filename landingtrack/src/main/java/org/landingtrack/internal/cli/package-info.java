/** The command line. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.cli;
