/** Rolling out weight versions over model engines, under a lease. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.weights;
