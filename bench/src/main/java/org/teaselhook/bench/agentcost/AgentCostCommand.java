package org.teaselhook.bench.agentcost;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import org.teaselhook.bench.process.FreePorts;
import org.teaselhook.bench.process.Readiness;
import org.teaselhook.bench.process.Site;
import org.teaselhook.bench.process.SitePlan;
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

/** The command {@code agent-cost}: memory, processor time and traffic of an idle agent. */
@Command(
        name = "agent-cost",
        mixinStandardHelpOptions = true,
        description = "Measures what an idle agent with one target uses, one line for each number of entries.")
public final class AgentCostCommand implements Callable<Integer> {

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final long SETTLE_SECONDS = 10;

    @Spec
    private CommandSpec spec;

    @Option(names = "--entries", split = ",", defaultValue = "1,3,6", description = "Entries (${DEFAULT-VALUE}).")
    private List<Integer> entries;

    @Option(names = "--seconds", defaultValue = "20", description = "Length of each measurement (${DEFAULT-VALUE}).")
    private int seconds;

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

    private AgentCost measure(int count) throws Exception {
        Path directory = Files.createTempDirectory("agent-cost");
        InetSocketAddress http = FreePorts.draw(1).get(0);
        SitePlan plan = SitePlan.standard().withProcesses(count, 0).withoutRelays();
        TargetSettings settings = TargetSettings.of("target-1", SitePlan.SERVICE, "ernakulam", http);
        try (Site site = Site.start(plan, TaskListener.none(), directory)) {
            List<InetSocketAddress> addresses =
                    site.entries().stream().map(entry -> entry.grpc().address()).toList();
            try (AgentProcess agent = AgentProcess.start(directory, http, addresses);
                    TargetServer target =
                            TargetServer.start(settings, TargetBehaviour.of(RunTime.fixed(50)), TaskListener.none())) {
                site.awaitReady(READY_TIMEOUT);
                if (!Readiness.of(site.client()).await(http, READY_TIMEOUT)) {
                    throw new IllegalStateException("the agent is not ready; see " + directory);
                }
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
                return measure(count, agent);
            }
        }
    }

    private AgentCost measure(int count, AgentProcess agent) throws Exception {
        AgentUsage first = AgentUsage.of(agent.pid());
        TimeUnit.SECONDS.sleep(seconds);
        AgentUsage last = AgentUsage.of(agent.pid());
        return new AgentCost(count, first, last, agent.liveHeapBytes());
    }
}
