package org.teaselhook.standin.table;

import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;

import org.teaselhook.net.log.LogLine;

/**
 * Runs the table service stand-in as a separate process.
 */
public final class TableServerMain {

    private static final String DEFAULT_HOST = "127.0.0.1";

    private TableServerMain() {}

    /**
     * Runs the stand-in until the process is stopped.
     *
     * @param args the port; if empty, a free one is chosen
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int port = args.length == 0 ? 0 : Integer.parseInt(args[0]);
        run(new InetSocketAddress(DEFAULT_HOST, port));
    }

    /**
     * Runs the stand-in until the calling thread is interrupted. Logs the port in a line {@code event=table-listening}.
     *
     * @param bindAddress the address to listen on; port 0 picks a free one
     * @throws InterruptedException when the thread is interrupted
     */
    public static void run(InetSocketAddress bindAddress) throws InterruptedException {
        try (TableServer server = TableServer.start(bindAddress, TableFaults.none())) {
            LogLine.of("table-listening").with("port", server.port()).info();
            new CountDownLatch(1).await();
        }
    }
}
