/** Which controllers are live: probing with refutation. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.membership;
