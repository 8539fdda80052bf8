package org.teaselhook.app;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;

import org.teaselhook.app.local.LocalCluster;
import org.teaselhook.app.local.LocalDemo;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a complete cluster with stand-ins in one process.
 */
@Command(
        name = "local",
        description = "Runs a complete cluster with stand-ins in this process, for trying it out.",
        mixinStandardHelpOptions = true)
final class LocalCommand implements Callable<Integer> {

    @Option(names = "--once", description = "Serve one request and one job of 20 tasks, print the answers, and exit.")
    private boolean once;

    @Option(names = "--port", defaultValue = "8080", description = "Callers' port on 127.0.0.1 (default: 8080).")
    private int port;

    @Override
    public Integer call() throws Exception {
        try (LocalCluster cluster = LocalCluster.start(once ? 0 : port)) {
            if (!LocalDemo.prepare(cluster, System.out)) {
                return 1;
            }
            if (once) {
                return LocalDemo.run(cluster, System.out) ? 0 : 1;
            }
            printExamples(cluster);
            return Daemon.runUntilTerminated(() -> CompletableFuture.completedFuture(null));
        }
    }

    private static void printExamples(LocalCluster cluster) {
        String base = "http://127.0.0.1:" + cluster.http().getPort();
        System.out.println("ready; try:");
        System.out.println(
                "  curl -i -H 'Idempotency-Key: lid-2' -d 'To Anna' " + base + "/v1/services/storefront/engraving");
        System.out.println("  curl -i -H 'Idempotency-Key: box-2' -d '{\"service\":\"storefront\",\"tasks\":["
                + "{\"kind\":\"chart\",\"body\":\"A\"},{\"kind\":\"chart\",\"body\":\"B\"}]}' " + base + "/v1/jobs");
        System.out.println("  curl -X POST '" + base + "/v1/tickets?n=2'");
        System.out.println("  bin/teaselhook ctl status --entry 127.0.0.1:"
                + cluster.http().getPort());
    }
}
