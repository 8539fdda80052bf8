package org.teaselhook.bench.capacity;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.teaselhook.bench.process.FreePorts;
import org.teaselhook.bench.process.HealthProbe;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.SitePlan;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.node.session.EntryLocation;
import org.teaselhook.standin.relay.Relay;
import org.teaselhook.standin.relay.RelayDirection;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetServer;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;

/** An agent process under measurement, with a target and simulated entries in this JVM, each behind a relay. */
final class AgentTestbed implements AutoCloseable {

    private static final int EVENT_LOOP_THREADS = 2;
    private static final int SLOTS = 8;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(40);
    private static final TargetBehaviour BEHAVIOUR = TargetBehaviour.of(RunTime.fixed(1));

    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient client = HttpClient.create(loops, 1, CONNECT_TIMEOUT_MILLIS);
    private final List<Relay> relays = new ArrayList<>();
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final InetSocketAddress http;
    private final ProcessNode agent;
    private final TargetServer target;

    AgentTestbed(int entryCount, Path directory) throws IOException {
        List<InetSocketAddress> entryAddresses = FreePorts.draw(entryCount);
        entryAddresses.forEach(address -> relays.add(Relay.start(loops.group(), address)));
        List<String> relayAddresses =
                relays.stream().map(relay -> format(relay.address())).toList();
        List<EntryLocation> locations = IntStream.range(0, entryCount)
                .mapToObj(i -> new EntryLocation(
                        relayAddresses.get(i), SitePlan.standard().zone(i)))
                .toList();
        for (int i = 0; i < entryCount; i++) {
            entries.add(SimulatedEntry.start(i, entryAddresses.get(i), locations, loops.group(), timer));
        }
        List<InetSocketAddress> agentAddresses = FreePorts.draw(2);
        http = agentAddresses.get(0);
        agent = ProcessNode.of("agent", List.of("agent", "--settings", settings(directory, relayAddresses)), directory);
        TargetSettings targetSettings = new TargetSettings(
                "target", SitePlan.SERVICE, SitePlan.standard().zone(0), agentAddresses.get(1), http);
        target = TargetServer.start(loops, targetSettings, BEHAVIOUR, TaskListener.none());
        agent.start();
    }

    private String settings(Path directory, List<String> relayAddresses) throws IOException {
        String yaml =
                """
                name: agent
                zone: %s
                rack: rack-1
                slots: %d
                http: %s
                entries: [%s]
                """
                        .formatted(
                                SitePlan.standard().zone(0),
                                SLOTS,
                                format(http),
                                relayAddresses.stream().collect(Collectors.joining(", ")));
        return Files.writeString(directory.resolve("agent.yaml"), yaml).toString();
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    ProcessNode agent() {
        return agent;
    }

    List<SimulatedEntry> entries() {
        return entries;
    }

    double bytes(RelayDirection direction) {
        return relays.stream().mapToDouble(relay -> relay.bytes(direction)).sum();
    }

    void awaitReady() throws InterruptedException {
        if (!HealthProbe.of(client).awaitReady(http, START_TIMEOUT)) {
            throw new IllegalStateException("the agent is not ready; see " + agent.log());
        }
    }

    @Override
    public void close() {
        agent.close();
        target.close();
        timer.shutdownNow();
        entries.forEach(SimulatedEntry::close);
        relays.forEach(Relay::close);
        client.close();
        loops.close();
    }
}
