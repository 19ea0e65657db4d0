/** The objects that operators manage and the rules that bind them. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.catalog;
