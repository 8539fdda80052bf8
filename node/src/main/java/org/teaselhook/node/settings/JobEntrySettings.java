package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of an entry that accepts jobs whose tasks request resource amounts.
 *
 * <pre>{@code
 * name: edge-thrissur-1
 * zone: thrissur
 * callers: 10.2.0.3:8161
 * ready: 10.2.0.3:8167
 * agents: 10.2.0.3:7720
 * table: 10.200.1.7:8169
 * metrics: 10.2.0.3:9464           # optional
 * }</pre>
 *
 * @param name the entry's name, unique among entries
 * @param zone the availability zone
 * @param callers the address that serves callers
 * @param ready the address that serves the load balancer's readiness checks
 * @param agents the address that serves agents
 * @param table the address of the table service
 * @param metrics the address that serves metrics, or empty if they are not served
 */
public record JobEntrySettings(
        String name,
        String zone,
        InetSocketAddress callers,
        InetSocketAddress ready,
        InetSocketAddress agents,
        InetSocketAddress table,
        Optional<InetSocketAddress> metrics) {

    /**
     * Reads settings.
     *
     * @param yaml the text of the settings file
     * @return the settings, or all faults
     */
    public static SettingsResult<JobEntrySettings> parse(String yaml) {
        return SettingsNode.parse(yaml, JobEntrySettings::read);
    }

    private static JobEntrySettings read(SettingsNode root) {
        return new JobEntrySettings(
                root.name("name"),
                root.name("zone"),
                root.address("callers"),
                root.address("ready"),
                root.address("agents"),
                root.address("table"),
                root.optionalAddress("metrics"));
    }
}
