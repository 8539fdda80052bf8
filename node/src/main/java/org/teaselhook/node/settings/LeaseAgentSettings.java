package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

/**
 * Settings of an agent whose worker runs tasks under leases.
 *
 * <pre>{@code
 * name: side-thrissur-2
 * zone: thrissur
 * registrations: 10.2.0.4:8166       # the worker's heartbeats
 * table: 10.200.1.7:8169
 * entries: [10.2.0.3:7720]           # used until the table service has been read
 * entries-port: 7720                 # replaces the port of each address in entries
 * metrics: 10.2.0.4:9464             # optional
 * }</pre>
 *
 * @param name the agent's name, unique among agents
 * @param zone the availability zone
 * @param registrations the address that receives the worker's heartbeats
 * @param table the address of the table service
 * @param entries gRPC addresses of entries to try first, possibly none or out of date
 * @param metrics the address that serves metrics, or empty if they are not served
 */
public record LeaseAgentSettings(
        String name,
        String zone,
        InetSocketAddress registrations,
        InetSocketAddress table,
        List<InetSocketAddress> entries,
        Optional<InetSocketAddress> metrics) {

    /** Copies the list. */
    public LeaseAgentSettings {
        entries = List.copyOf(entries);
    }

    /**
     * Reads settings.
     *
     * @param yaml the text of the settings file
     * @return the settings, or all faults
     */
    public static SettingsResult<LeaseAgentSettings> parse(String yaml) {
        return SettingsNode.parse(yaml, LeaseAgentSettings::read);
    }

    private static LeaseAgentSettings read(SettingsNode root) {
        int port = (int) root.number("entries-port", 0, 65_535, 0);
        List<InetSocketAddress> entries = root.addresses("entries", 0).stream()
                .map(address -> port == 0 ? address : new InetSocketAddress(address.getAddress(), port))
                .toList();
        return new LeaseAgentSettings(
                root.name("name"),
                root.name("zone"),
                root.address("registrations"),
                root.address("table"),
                entries,
                root.optionalAddress("metrics"));
    }
}
