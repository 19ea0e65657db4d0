/** Rollout of weight versions to model engines by the holder of a lease. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.weights;
