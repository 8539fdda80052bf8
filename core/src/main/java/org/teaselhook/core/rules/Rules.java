package org.teaselhook.core.rules;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A checked set of rules.
 */
public final class Rules {

    private static final Rules EMPTY = new Rules(Map.of(), Map.of(), Set.of());

    private final Map<String, Map<String, KindRule>> kinds;
    private final Map<String, CustomerRule> customers;
    private final Set<String> zonesOut;

    private Rules(Map<String, Map<String, KindRule>> kinds, Map<String, CustomerRule> customers, Set<String> zonesOut) {
        this.kinds = kinds;
        this.customers = customers;
        this.zonesOut = zonesOut;
    }

    // -- factories

    /**
     * Returns the rules without any line: no service is known.
     *
     * @return the empty rules
     */
    public static Rules empty() {
        return EMPTY;
    }

    // -- accessors

    /**
     * Tells whether any kind of the service has a rule.
     *
     * @param service the service's name
     * @return true if the service is known
     */
    public boolean knowsService(String service) {
        return kinds.containsKey(service);
    }

    /**
     * Finds the rule of a kind.
     *
     * @param service the service's name
     * @param kind the kind's name
     * @return the rule, or empty if there is none
     */
    public Optional<KindRule> kind(String service, String kind) {
        Objects.requireNonNull(kind, "kind is null");
        return Optional.ofNullable(kinds.getOrDefault(service, Map.of()).get(kind));
    }

    /**
     * Finds the rule of a customer.
     *
     * @param customer the customer's name
     * @return the rule, or empty if there is none
     */
    public Optional<CustomerRule> customer(String customer) {
        return Optional.ofNullable(customers.get(customer));
    }

    /**
     * Tells whether operators have taken an availability zone out of service.
     *
     * @param zone the zone's name
     * @return true if the zone is out
     */
    public boolean isOut(String zone) {
        return zonesOut.contains(zone);
    }

    /**
     * Returns the availability zones that are out of service.
     *
     * @return the zones' names
     */
    public Set<String> zonesOut() {
        return zonesOut;
    }
}
