package org.teaselhook.core.rules;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * A validated set of rules.
 */
public final class Rules {

    private static final Rules EMPTY = new Rules(Map.of(), Map.of(), Set.of(), Map.of());

    private final Map<String, Map<String, KindRule>> kinds;
    private final Map<String, CustomerRule> customers;
    private final Set<String> zonesOut;
    private final Map<LimitKind, Long> limits;

    private Rules(
            Map<String, Map<String, KindRule>> kinds,
            Map<String, CustomerRule> customers,
            Set<String> zonesOut,
            Map<LimitKind, Long> limits) {
        this.kinds = kinds;
        this.customers = customers;
        this.zonesOut = zonesOut;
        this.limits = limits;
    }

    // -- factories

    /**
     * Returns the empty rules, in which no service is known.
     *
     * @return the empty rules
     */
    public static Rules empty() {
        return EMPTY;
    }

    /**
     * Returns rules without limits.
     *
     * @param kinds the kinds, unique by service and name
     * @param customers the customers, unique by name
     * @param zonesOut the availability zones that are out of service
     * @return the rules
     * @throws IllegalArgumentException if a kind or a customer is not unique
     */
    public static Rules of(
            Collection<KindRule> kinds, Collection<CustomerRule> customers, Collection<String> zonesOut) {
        return of(kinds, customers, zonesOut, Map.of());
    }

    /**
     * Returns rules with limits.
     *
     * @param kinds the kinds, unique by service and name
     * @param customers the customers, unique by name
     * @param zonesOut the availability zones that are out of service
     * @param limits the limits
     * @return the rules
     * @throws IllegalArgumentException if a kind or a customer is not unique
     */
    public static Rules of(
            Collection<KindRule> kinds,
            Collection<CustomerRule> customers,
            Collection<String> zonesOut,
            Map<LimitKind, Long> limits) {
        Map<String, Map<String, KindRule>> byService = new TreeMap<>();
        kinds.forEach(kind ->
                putUnique(byService.computeIfAbsent(kind.service(), service -> new TreeMap<>()), kind.kind(), kind));
        Map<String, CustomerRule> byName = new TreeMap<>();
        customers.forEach(customer -> putUnique(byName, customer.customer(), customer));
        byService.replaceAll((service, byKind) -> Map.copyOf(byKind));
        return new Rules(Map.copyOf(byService), Map.copyOf(byName), Set.copyOf(zonesOut), Map.copyOf(limits));
    }

    private static <T> void putUnique(Map<String, T> map, String name, T rule) {
        if (map.putIfAbsent(name, rule) != null) {
            throw new IllegalArgumentException("duplicate rule for " + name);
        }
    }

    // -- accessors

    /**
     * Tells whether a service has a rule for any kind.
     *
     * @param service the service's name
     * @return true if the service is known
     */
    public boolean hasService(String service) {
        return kinds.containsKey(service);
    }

    /**
     * Returns the rule of a kind.
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
     * Returns the rule of a customer.
     *
     * @param customer the customer's name
     * @return the rule, or empty if there is none
     */
    public Optional<CustomerRule> customer(String customer) {
        return Optional.ofNullable(customers.get(customer));
    }

    /**
     * Tells whether an availability zone is out of service.
     *
     * @param zone the zone's name
     * @return true if operators have taken the zone out of service
     */
    public boolean isZoneOut(String zone) {
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

    /**
     * Returns the rules of all kinds of all services.
     *
     * @return the rules in no particular order
     */
    public List<KindRule> kinds() {
        return kinds.values().stream()
                .flatMap(byKind -> byKind.values().stream())
                .toList();
    }

    /**
     * Returns the rules of all customers.
     *
     * @return the rules in no particular order
     */
    public List<CustomerRule> customers() {
        return List.copyOf(customers.values());
    }

    /**
     * Returns the value of a limit.
     *
     * @param kind the kind of limit
     * @return the value, or empty if the rules do not set the limit
     */
    public OptionalLong limit(LimitKind kind) {
        Long value = limits.get(kind);
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }

    // -- comparison

    @Override
    public boolean equals(Object other) {
        return other instanceof Rules rules
                && kinds.equals(rules.kinds)
                && customers.equals(rules.customers)
                && zonesOut.equals(rules.zonesOut)
                && limits.equals(rules.limits);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kinds, customers, zonesOut, limits);
    }
}
