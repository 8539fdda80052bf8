/**
 * Measures what an idle agent uses.
 */
package org.teaselhook.bench.agentcost;
