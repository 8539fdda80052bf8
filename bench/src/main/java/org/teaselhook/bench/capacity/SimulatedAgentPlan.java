package org.teaselhook.bench.capacity;

/**
 * The identity and size of a simulated agent.
 *
 * @param name the name
 * @param incarnation the unique incarnation number
 * @param zone the availability zone
 * @param slots the number of slots, all granted to its one entry
 * @param service the service that its target offers
 */
record SimulatedAgentPlan(String name, long incarnation, String zone, int slots, String service) {

    static SimulatedAgentPlan of(int index, String zone, int slots, String service) {
        return new SimulatedAgentPlan("light-" + index, 1_000_000L + index, zone, slots, service);
    }
}
