/** The callers' HTTP interface. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.caller;
