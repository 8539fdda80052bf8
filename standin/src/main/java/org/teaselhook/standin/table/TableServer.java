package org.teaselhook.standin.table;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.teaselhook.net.http.HttpLimits;
import org.teaselhook.net.http.HttpServer;

/**
 * An HTTP server with an in-memory table that can inject faults.
 *
 * <pre>{@code
 * try (TableServer table = TableServer.start(new InetSocketAddress("127.0.0.1", 0), TableFaults.none())) {
 *     table.setFaults(TableFaults.none().withOutage(TableFaults.Outage.SILENT));
 * }
 * }</pre>
 */
public final class TableServer implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MAX_CONNECTIONS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;

    private final ScheduledExecutorService timer;
    private final FaultyTable table;
    private final HttpServer server;

    private TableServer(ScheduledExecutorService timer, FaultyTable table, HttpServer server) {
        this.timer = timer;
        this.table = table;
        this.server = server;
    }

    // -- factories

    /**
     * Starts an empty table service.
     *
     * @param bindAddress the address to listen on; port 0 picks a free one
     * @param faults the initial faults
     * @return the running server
     */
    public static TableServer start(InetSocketAddress bindAddress, TableFaults faults) {
        return start(bindAddress, faults, new Random().nextLong());
    }

    /**
     * Starts an empty table service with reproducible fault decisions.
     *
     * @param bindAddress the address to listen on; port 0 picks a free one
     * @param faults the initial faults
     * @param seed the seed of the random fault decisions
     * @return the running server
     */
    public static TableServer start(InetSocketAddress bindAddress, TableFaults faults, long seed) {
        Objects.requireNonNull(faults, "faults is null");
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(TableServer::daemon);
        FaultyTable table = new FaultyTable(timer, new Random(seed), faults);
        HttpLimits limits = HttpLimits.of(MAX_BODY_BYTES, MAX_CONNECTIONS, IDLE_TIMEOUT_MILLIS);
        HttpServer server = HttpServer.start(bindAddress, new TableHandler(table), limits);
        return new TableServer(timer, table, server);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "table-timer");
        thread.setDaemon(true);
        return thread;
    }

    // -- accessors

    /**
     * Returns the port listened on.
     *
     * @return the port
     */
    public int port() {
        return server.port();
    }

    /**
     * Returns the counters since the start.
     *
     * @return the counters
     */
    public TableCounters counters() {
        return table.counters();
    }

    /**
     * Returns the current faults.
     *
     * @return the faults
     */
    public TableFaults faults() {
        return table.faults();
    }

    // -- updates

    /**
     * Replaces the faults; takes effect on the next call.
     *
     * @param changed the new faults
     */
    public void setFaults(TableFaults changed) {
        table.setFaults(changed);
    }

    /** Stops the server and discards all rows. */
    @Override
    public void close() {
        server.close();
        timer.shutdownNow();
    }
}
