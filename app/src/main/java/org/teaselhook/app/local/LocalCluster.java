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
 * A table service stand-in, one entry, and two agents with a target each, all in this process.
 */
public final class LocalSite implements AutoCloseable {

    /** The service of the targets. */
    public static final String SERVICE = "storefront";

    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final long RUN_MILLIS = 50;
    private static final List<String> ZONES = List.of("cesis", "valmiera");

    private final Deque<AutoCloseable> parts = new ArrayDeque<>();
    private final TaskListener listener;
    private final EntryNode entry;

    private LocalSite(int httpPort, TaskListener listener) {
        this.listener = listener;
        TableServer table = TableServer.start(loopback(0), TableFaults.none());
        parts.push(table);
        entry = EntryNode.start(entrySettings(httpPort, table.port()));
        parts.push(entry);
        ZONES.forEach(this::startWorker);
    }

    // -- factories

    /**
     * Starts a site.
     *
     * @param httpPort the port for callers on 127.0.0.1; 0 picks a free one
     * @return the running site, not yet ready
     */
    public static LocalSite start(int httpPort) {
        return start(httpPort, TaskListener.none());
    }

    /**
     * Starts a site whose targets tell of every start.
     *
     * @param httpPort the port for callers on 127.0.0.1; 0 picks a free one
     * @param listener told of every start and end at a target
     * @return the running site, not yet ready
     */
    public static LocalSite start(int httpPort, TaskListener listener) {
        return new LocalSite(httpPort, listener);
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
        parts.push(agent);
        TargetSettings target = TargetSettings.of("target-" + zone, SERVICE, zone, loopback(agent.httpPort()));
        parts.push(TargetServer.start(target, TargetBehaviour.of(RunTime.fixed(RUN_MILLIS)), listener));
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

    // -- stopping

    /** Ends every part, targets first. */
    @Override
    public void close() {
        List<AutoCloseable> all = new ArrayList<>(parts);
        parts.clear();
        all.forEach(LocalSite::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            System.err.println("not closed: " + e);
        }
    }
}
