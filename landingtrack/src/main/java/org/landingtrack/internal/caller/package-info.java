/** The callers' HTTP interface: parsing and checks of requests, and the bodies of answers. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.caller;
