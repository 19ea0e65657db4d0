/**
 * The program landingtrack: its entry point, and the error kinds that callers and operators see.
 */
@org.jspecify.annotations.NullMarked
package org.landingtrack;
