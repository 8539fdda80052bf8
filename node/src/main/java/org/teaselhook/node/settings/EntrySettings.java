package org.teaselhook.node.settings;

import java.net.InetSocketAddress;
import java.util.List;

import org.teaselhook.core.placement.PlacementPolicy;

/**
 * Settings of an entry.
 *
 * <pre>{@code
 * name: entry-1
 * zone: thrissur
 * http: 10.0.0.1:8080        # callers and operators
 * grpc: 10.0.0.1:9090        # agents and other entries
 * table: [10.0.9.1:7000]
 * peers: [10.0.0.2:9090, 10.0.0.3:9090]
 * }</pre>
 *
 * @param name the entry's name, unique among entries
 * @param zone the availability zone
 * @param http the address that serves callers and operators over HTTP
 * @param grpc the address that serves agents and other entries over gRPC
 * @param advertisedGrpc the address at which agents and other entries reach {@code grpc}
 * @param table addresses of the table service, at least one; the next is used when one does not answer
 * @param peers gRPC addresses of other entries, possibly none
 * @param defaultCustomer the customer of requests that do not specify one
 * @param placementPolicy how workers are chosen
 * @param hedging whether slow idempotent requests are sent to a second worker
 * @param limits limits on memory and connections
 */
public record EntrySettings(
        String name,
        String zone,
        InetSocketAddress http,
        InetSocketAddress grpc,
        InetSocketAddress advertisedGrpc,
        List<InetSocketAddress> table,
        List<InetSocketAddress> peers,
        String defaultCustomer,
        PlacementPolicy placementPolicy,
        boolean hedging,
        EntryLimits limits) {

    /** The default of {@link #defaultCustomer()}. */
    public static final String DEFAULT_CUSTOMER = "default";
    /** The default of {@link #placementPolicy()}. */
    public static final PlacementPolicy DEFAULT_PLACEMENT_POLICY = PlacementPolicy.GRANTS;

    /** Copies the lists. */
    public EntrySettings {
        table = List.copyOf(table);
        peers = List.copyOf(peers);
    }

    /**
     * Reads settings.
     *
     * @param yaml the text of the settings file
     * @return the settings, or all faults
     */
    public static SettingsResult<EntrySettings> parse(String yaml) {
        return SettingsNode.parse(yaml, EntrySettings::read);
    }

    private static EntrySettings read(SettingsNode root) {
        InetSocketAddress grpc = root.address("grpc");
        return new EntrySettings(
                root.name("name"),
                root.name("zone"),
                root.address("http"),
                grpc,
                root.address("advertised-grpc", grpc),
                root.addresses("table", 1),
                root.addresses("peers", 0),
                root.name("default-customer", DEFAULT_CUSTOMER),
                root.choice("placement-policy", PlacementPolicy.class, DEFAULT_PLACEMENT_POLICY),
                root.flag("hedging", true),
                readLimits(root.section("limits")));
    }

    private static EntryLimits readLimits(SettingsNode limits) {
        return new EntryLimits(
                (int) limits.number("max-body-bytes", 1, 256 << 20, EntryLimits.MAX_BODY_BYTES),
                (int) limits.number("max-tasks-per-job", 1, 100_000, EntryLimits.MAX_TASKS_PER_JOB),
                (int) limits.number("max-connections", 1, 1_000_000, EntryLimits.MAX_CONNECTIONS),
                limits.number("kept-answers-bytes", 0, 64L << 30, EntryLimits.ANSWER_CACHE_BYTES),
                limits.seconds("kept-answers-seconds", 1, 86_400, EntryLimits.ANSWER_CACHE_SECONDS));
    }
}
