/** The parts that every process of the product has. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.wiring;
