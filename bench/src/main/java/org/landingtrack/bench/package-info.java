/** The load generator and the benchmarks of landingtrack. Not part of the product. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.bench;
