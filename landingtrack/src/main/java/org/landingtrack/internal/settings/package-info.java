/** Reads settings files: JSON with comments, in which every key is validated. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.settings;
