/** Starts, signals and monitors the system's processes for tests and benchmarks. */
package org.teaselhook.bench.process;
