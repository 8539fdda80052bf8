package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Settings of an agent.
 *
 * <pre>{@code
 * name: worker-7
 * zone: kottayam
 * rack: rack-2
 * slots: 8
 * connections: 64
 * http: 127.0.0.1:8090       # announcements of targets, health checks and metrics
 * entries: [10.0.0.1:9090, 10.0.0.2:9090]
 * connected-entries: 8
 * }</pre>
 *
 * @param name the worker's name, unique among workers
 * @param zone the availability zone
 * @param rack the rack
 * @param slots the maximum number of tasks that run concurrently
 * @param connections the maximum number of connections to a target
 * @param http the address that serves announcements of targets, health checks and metrics
 * @param entries gRPC addresses of entries, at least one
 * @param connectedEntries the maximum number of entries to connect to, out of these and those that they report
 */
public record AgentSettings(
        String name,
        String zone,
        String rack,
        int slots,
        int connections,
        InetSocketAddress http,
        List<InetSocketAddress> entries,
        int connectedEntries) {

    /** The default of {@link #slots()}. */
    public static final int DEFAULT_SLOTS = 8;
    /** The default of {@link #connections()}. */
    public static final int DEFAULT_CONNECTIONS = 64;
    /** The default of {@link #connectedEntries()}. */
    public static final int DEFAULT_CONNECTED_ENTRIES = 8;

    /** Copies the list. */
    public AgentSettings {
        entries = List.copyOf(entries);
    }

    /**
     * Reads settings.
     *
     * @param yaml the text of the settings file
     * @return the settings, or all faults
     */
    public static SettingsResult<AgentSettings> parse(String yaml) {
        return SettingsNode.parse(yaml, AgentSettings::read);
    }

    private static AgentSettings read(SettingsNode root) {
        return new AgentSettings(
                root.name("name"),
                root.name("zone"),
                root.name("rack"),
                (int) root.number("slots", 1, 4_096, DEFAULT_SLOTS),
                (int) root.number("connections", 1, 65_536, DEFAULT_CONNECTIONS),
                root.address("http"),
                root.addresses("entries", 1),
                (int) root.number("connected-entries", 1, 256, DEFAULT_CONNECTED_ENTRIES));
    }
}
