/** The command line: the programs gateway, controller, ctl, check and keys. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.cli;
