package org.teaselhook.bench.capacity;

/**
 * Who a light agent is.
 *
 * @param name the name
 * @param incarnation the incarnation, unlike that of any other
 * @param zone the availability zone
 * @param slots the slots, all granted to the one entry
 * @param service the service of its target
 */
record LightAgentPlan(String name, long incarnation, String zone, int slots, String service) {

    static LightAgentPlan of(int index, String zone, int slots, String service) {
        return new LightAgentPlan("light-" + index, 1_000_000L + index, zone, slots, service);
    }
}
