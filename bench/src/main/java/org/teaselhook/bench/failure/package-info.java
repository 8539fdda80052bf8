/** Randomised fault-injection runs of a whole site; the history of each run is checked for violations. */
package org.teaselhook.bench.failure;
