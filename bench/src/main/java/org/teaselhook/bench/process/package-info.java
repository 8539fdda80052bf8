/** Starts, signals and observes the system's processes for tests and measurements. */
package org.teaselhook.bench.process;
