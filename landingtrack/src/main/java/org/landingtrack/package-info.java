/** The entry point of landingtrack, and the error kinds that callers and operators get. */
@org.jspecify.annotations.NullMarked
package org.landingtrack;
