package org.teaselhook.app;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the stand-in for the platform's table service.
 */
@Command(
        name = "table",
        description = "Runs an in-memory stand-in for the platform's table service, for tests only.",
        mixinStandardHelpOptions = true)
final class TableCommand implements Callable<Integer> {

    @Option(names = "--port", defaultValue = "7000", description = "The port on 127.0.0.1 (default: 7000).")
    private int port;

    @Override
    public Integer call() throws Exception {
        TableServer table = TableServer.start(new InetSocketAddress("127.0.0.1", port), TableFaults.none());
        System.out.println("table service stand-in on 127.0.0.1:" + table.port());
        return Daemon.runUntilTerminated(() -> {
            table.close();
            return CompletableFuture.completedFuture(null);
        });
    }
}
