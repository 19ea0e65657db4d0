/** The load tool and the measurements of landingtrack. Not part of the product. */
@org.jspecify.annotations.NullMarked
package org.landingtrack.bench;
