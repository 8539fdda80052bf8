package org.teaselhook.app.local;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.teaselhook.node.agent.AgentNode;
import org.teaselhook.node.entry.EntryNode;
import org.teaselhook.node.settings.AgentSettings;
import org.teaselhook.node.settings.EntryLimits;
import org.teaselhook.node.settings.EntrySettings;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetServer;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;

/**
 * A table service stand-in, one entry, and two agents with one target each, all in this process.
 */
public final class LocalCluster implements AutoCloseable {

    /** The service that the targets run. */
    public static final String SERVICE = "storefront";

    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final long RUN_MILLIS = 50;
    private static final List<String> ZONES = List.of("cesis", "valmiera");

    private final Deque<AutoCloseable> components = new ArrayDeque<>();
    private final TaskListener listener;
    private final EntryNode entry;

    private LocalCluster(int httpPort, TaskListener listener) {
        this.listener = listener;
        TableServer table = TableServer.start(loopback(0), TableFaults.none());
        components.push(table);
        entry = EntryNode.start(entrySettings(httpPort, table.port()));
        components.push(entry);
        ZONES.forEach(this::startWorker);
    }

    // -- factories

    /**
     * Starts a cluster.
     *
     * @param httpPort the port for callers on 127.0.0.1; 0 picks a free one
     * @return the running cluster, not yet ready
     */
    public static LocalCluster start(int httpPort) {
        return start(httpPort, TaskListener.none());
    }

    /**
     * Starts a cluster whose targets report to a listener.
     *
     * @param httpPort the port for callers on 127.0.0.1; 0 picks a free one
     * @param listener receives the start and end of every task at a target
     * @return the running cluster, not yet ready
     */
    public static LocalCluster start(int httpPort, TaskListener listener) {
        return new LocalCluster(httpPort, listener);
    }

    private static EntrySettings entrySettings(int httpPort, int tablePort) {
        InetSocketAddress grpc = loopback(FreePort.find());
        return new EntrySettings(
                "entry-1",
                ZONES.get(0),
                loopback(httpPort),
                grpc,
                grpc,
                List.of(loopback(tablePort)),
                List.of(),
                EntrySettings.DEFAULT_CUSTOMER,
                EntrySettings.DEFAULT_PLACEMENT_POLICY,
                true,
                EntryLimits.standard());
    }

    private void startWorker(String zone) {
        AgentNode agent = AgentNode.start(new AgentSettings(
                "worker-" + zone,
                zone,
                "rack-1",
                SLOTS,
                CONNECTIONS,
                loopback(0),
                List.of(loopback(entry.grpcPort())),
                AgentSettings.DEFAULT_CONNECTED_ENTRIES));
        components.push(agent);
        TargetSettings target = TargetSettings.of("target-" + zone, SERVICE, zone, loopback(agent.httpPort()));
        components.push(TargetServer.start(target, TargetBehaviour.of(RunTime.fixed(RUN_MILLIS)), listener));
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress("127.0.0.1", port);
    }

    // -- accessors

    /**
     * Returns the address for callers and operators.
     *
     * @return the address
     */
    public InetSocketAddress http() {
        return loopback(entry.httpPort());
    }

    // -- closing

    /** Closes all components in reverse order of their start. */
    @Override
    public void close() {
        List<AutoCloseable> all = new ArrayList<>(components);
        components.clear();
        all.forEach(LocalCluster::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable component) {
        try {
            component.close();
        } catch (Exception e) {
            System.err.println("close failed: " + e);
        }
    }
}
