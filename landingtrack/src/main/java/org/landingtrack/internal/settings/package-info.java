/** Settings files: JSON with comments, every key checked. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.internal.settings;
