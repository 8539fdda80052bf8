package org.teaselhook.bench.agentcost;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.teaselhook.bench.process.FreePorts;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.node.settings.SocketAddresses;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetServer;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code agent-cost}: memory, processor time and traffic of an idle agent, or of an idle entry. */
@Command(
        name = "agent-cost",
        mixinStandardHelpOptions = true,
        description = "Measures what an idle agent with one target uses, or an idle entry with one agent;"
                + " one line for each number of entries that it is connected to.")
public final class AgentCostCommand implements Callable<Integer> {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final String ZONE = "ernakulam";

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--entries",
            split = ",",
            defaultValue = "1,3,6",
            description = "Entries, at most 8 each (${DEFAULT-VALUE}).")
    private List<Integer> entries;

    @Option(names = "--seconds", defaultValue = "20", description = "Length of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--settle",
            defaultValue = "10",
            description = "Seconds before each measurement, in which code is still compiled (${DEFAULT-VALUE}).")
    private int settleSeconds;

    @Option(names = "--entry", description = "Measures a further entry in place of the agent.")
    private boolean entry;

    private AgentCostCommand() {}

    /**
     * Runs the command in the root of the repository.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new AgentCostCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        for (int count : entries) {
            spec.commandLine().getOut().println(measure(count).line());
        }
        return 0;
    }

    private DaemonCost measure(int count) throws Exception {
        Path directory = Files.createTempDirectory("agent-cost");
        List<InetSocketAddress> addresses = FreePorts.draw(3);
        InetSocketAddress http = addresses.get(0);
        SitePlan plan = SitePlan.standard().withProcesses(count, 0).withoutRelays();
        TargetSettings targetSettings = TargetSettings.of("target-1", SitePlan.SERVICE, ZONE, http);
        TargetBehaviour behaviour = TargetBehaviour.of(RunTime.fixed(50));
        try (Site site = Site.start(plan, TaskListener.none(), directory);
                DaemonProcess agent = DaemonProcess.start("agent", agentSettings(site, http), directory);
                TargetServer target = TargetServer.start(targetSettings, behaviour, TaskListener.none())) {
            site.awaitReady(READY_TIMEOUT);
            awaitReady(site, http);
            if (!entry) {
                return measure("agent", count, agent);
            }
            String settings = entrySettings(site, addresses.get(1), addresses.get(2));
            try (DaemonProcess measured = DaemonProcess.start("entry", settings, directory)) {
                awaitReady(site, addresses.get(1));
                return measure("entry", count, measured);
            }
        }
    }

    private static void awaitReady(Site site, InetSocketAddress http) throws InterruptedException {
        if (!HealthProbe.of(site.client()).awaitReady(http, READY_TIMEOUT)) {
            throw new IllegalStateException("the measured process is not ready; logs are in " + site.directory());
        }
    }

    private DaemonCost measure(String role, int count, DaemonProcess daemon) throws Exception {
        TimeUnit.SECONDS.sleep(settleSeconds);
        DaemonUsage first = DaemonUsage.of(daemon.pid());
        TimeUnit.SECONDS.sleep(seconds);
        DaemonUsage last = DaemonUsage.of(daemon.pid());
        return new DaemonCost(role, count, first, last, daemon.liveHeapBytes());
    }

    // -- settings

    private static String agentSettings(Site site, InetSocketAddress http) {
        return """
                name: agent-1
                zone: %s
                rack: rack-1
                http: %s
                entries: [%s]
                """
                .formatted(ZONE, SocketAddresses.format(http), grpcAddresses(site));
    }

    private static String entrySettings(Site site, InetSocketAddress http, InetSocketAddress grpc) {
        return """
                name: entry-measured
                zone: %s
                http: %s
                grpc: %s
                table: [%s]
                peers: [%s]
                """
                .formatted(
                        ZONE,
                        SocketAddresses.format(http),
                        SocketAddresses.format(grpc),
                        SocketAddresses.format(site.tableLink().address()),
                        grpcAddresses(site));
    }

    private static String grpcAddresses(Site site) {
        return site.entries().stream()
                .map(node -> SocketAddresses.format(node.grpc().address()))
                .collect(Collectors.joining(", "));
    }
}
