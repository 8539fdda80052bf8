package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * Settings of an entry that takes jobs whose tasks ask for amounts.
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
 * @param callers where callers' requests are taken
 * @param ready where the balancer asks whether the entry is ready
 * @param agents where agents are served
 * @param table the table service
 * @param metrics where metrics are served, or empty
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
     * @return the settings, or every fault
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
