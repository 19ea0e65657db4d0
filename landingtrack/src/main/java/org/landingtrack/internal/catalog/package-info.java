/** The configuration objects that operators manage, and the checks of their changes. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.catalog;
