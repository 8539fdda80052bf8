/**
 * Measures the memory, processor time and traffic of an idle agent or entry.
 */
package org.teaselhook.bench.agentcost;
