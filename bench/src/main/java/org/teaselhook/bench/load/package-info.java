/** Compares placement policies by response time, wasted messages and throughput under load and faults. */
package org.teaselhook.bench.load;
