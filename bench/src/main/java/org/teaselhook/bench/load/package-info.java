/** Measures response time, wasted messages and throughput under load and faults, policy beside policy. */
package org.teaselhook.bench.load;
