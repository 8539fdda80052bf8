package org.teaselhook.bench.process;

import java.util.List;
import java.util.Objects;

/**
 * The composition of a site. Entries and agents are assigned to the availability zones round-robin; each agent has one
 * target.
 *
 * @param entries the number of entries
 * @param agents the number of agents
 * @param slots the number of slots of each agent
 * @param zones the availability zones, at least one
 * @param service the service that every target serves
 * @param rules the text of the initial rules file
 * @param relayed whether connections between processes, to the table service and to targets pass through relays
 * @param policy the entries' placement policy, as in their settings
 */
public record SitePlan(
        int entries,
        int agents,
        int slots,
        List<String> zones,
        String service,
        String rules,
        boolean relayed,
        String policy) {

    /** The service of {@link #standard()}. */
    public static final String SERVICE = "patchdesk";
    /** The idempotent kind of {@link #standard()}. */
    public static final String IDEMPOTENT_KIND = "photo-check";
    /** The non-idempotent kind of {@link #standard()}. */
    public static final String NON_IDEMPOTENT_KIND = "booking";

    private static final List<String> ZONES = List.of("ernakulam", "thrissur", "kottayam");
    private static final String POLICY = "grants";
    private static final String RULES =
            """
            kind patchdesk photo-check idempotent timeout=5s run=100ms  # Meera: callers on the line
            kind patchdesk booking once timeout=5s run=100ms            # Meera: one crew for each booking
            """;

    /** Copies the zones. */
    public SitePlan {
        zones = List.copyOf(zones);
        Objects.requireNonNull(rules, "rules is null");
    }

    // -- factories

    /**
     * Returns a plan of three entries and six agents with eight slots each in three zones, with relays.
     *
     * @return the plan
     */
    public static SitePlan standard() {
        return new SitePlan(3, 6, 8, ZONES, SERVICE, RULES, true, POLICY);
    }

    // -- transformations

    /**
     * Changes the numbers of processes.
     *
     * @param entryCount the number of entries
     * @param agentCount the number of agents
     * @return a new plan
     */
    public SitePlan withProcesses(int entryCount, int agentCount) {
        return new SitePlan(entryCount, agentCount, slots, zones, service, rules, relayed, policy);
    }

    /**
     * Changes the number of slots.
     *
     * @param count the number of slots of each agent
     * @return a new plan
     */
    public SitePlan withSlots(int count) {
        return new SitePlan(entries, agents, count, zones, service, rules, relayed, policy);
    }

    /**
     * Changes the rules file.
     *
     * @param text the text of the rules file
     * @return a new plan
     */
    public SitePlan withRules(String text) {
        return new SitePlan(entries, agents, slots, zones, service, text, relayed, policy);
    }

    /**
     * Removes the relays.
     *
     * @return a new plan
     */
    public SitePlan withoutRelays() {
        return new SitePlan(entries, agents, slots, zones, service, rules, false, policy);
    }

    /**
     * Changes the placement policy.
     *
     * @param name the policy's name, as in the entries' settings
     * @return a new plan
     */
    public SitePlan withPolicy(String name) {
        return new SitePlan(entries, agents, slots, zones, service, rules, relayed, name);
    }

    // -- accessors

    /**
     * Returns the availability zone of the entry or agent with the given index.
     *
     * @param index the index, from 0
     * @return the zone's name
     */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
