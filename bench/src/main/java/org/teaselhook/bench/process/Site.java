package org.teaselhook.bench.process;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.teaselhook.net.http.EventLoops;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.table.TableServer;
import org.teaselhook.standin.target.RunTime;
import org.teaselhook.standin.target.TargetBehaviour;
import org.teaselhook.standin.target.TargetSettings;
import org.teaselhook.standin.target.TaskListener;

/**
 * A site: a table service stand-in and targets in this JVM, and entries and agents as processes. Closing it kills all
 * processes.
 *
 * <pre>{@code
 * try (Site site = Site.start(SitePlan.standard(), TaskListener.none(), directory)) {
 *     site.awaitReady(Duration.ofSeconds(20));
 *     site.entries().get(0).process().kill();
 * }
 * }</pre>
 */
public final class Site implements AutoCloseable {

    private static final int EVENT_LOOP_THREADS = 2;
    private static final int MAX_CONNECTIONS_PER_HOST = 256;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final String CLAIMS_KNOWN = "teaselhook_entry_claims_known";
    private static final TargetBehaviour TARGET_BEHAVIOUR =
            TargetBehaviour.of(RunTime.uniform(20, 100)).returningAttempt(true);

    private final SitePlan plan;
    private final Path directory;
    private final EventLoops loops = EventLoops.of(EVENT_LOOP_THREADS);
    private final HttpClient client;
    private final SiteRelays relays;
    private final TableServer table;
    private final Link tableLink;
    private final List<EntryNode> entries;
    private final List<AgentNode> agents;

    private Site(SitePlan plan, TaskListener listener, Path directory) {
        this.plan = Objects.requireNonNull(plan, "plan is null");
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.client = HttpClient.create(loops, MAX_CONNECTIONS_PER_HOST, CONNECT_TIMEOUT_MILLIS);
        this.relays = new SiteRelays(loops.group(), plan.relayed());
        this.table = TableServer.start(new InetSocketAddress("127.0.0.1", 0), TableFaults.none());
        this.tableLink = relays.relayTo(new InetSocketAddress("127.0.0.1", table.port()));
        this.entries = createEntries();
        this.agents = createAgents(Objects.requireNonNull(listener, "listener is null"));
    }

    // -- factories

    /**
     * Starts all processes of a site, without waiting for their readiness.
     *
     * @param plan the composition of the site
     * @param listener notified of the tasks at all targets
     * @param directory an existing directory for settings and log files
     * @return the site
     */
    public static Site start(SitePlan plan, TaskListener listener, Path directory) {
        Site site = new Site(plan, listener, directory);
        site.processes().forEach(ProcessNode::start);
        return site;
    }

    // -- accessors

    /**
     * Returns the entries.
     *
     * @return the entries in the order of their index
     */
    public List<EntryNode> entries() {
        return entries;
    }

    /**
     * Returns the agents.
     *
     * @return the agents in the order of their index
     */
    public List<AgentNode> agents() {
        return agents;
    }

    /**
     * Returns the processes.
     *
     * @return entries, then agents
     */
    public Stream<ProcessNode> processes() {
        return Stream.concat(
                entries.stream().map(EntryNode::process), agents.stream().map(AgentNode::process));
    }

    /**
     * Returns the table service stand-in.
     *
     * @return the stand-in
     */
    public TableServer table() {
        return table;
    }

    /**
     * Returns the connection path of entries to the table service.
     *
     * @return the link
     */
    public Link tableLink() {
        return tableLink;
    }

    /**
     * Returns a client for callers and operators.
     *
     * @return the client, closed with the site
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Returns the directory of settings and log files.
     *
     * @return the directory
     */
    public Path directory() {
        return directory;
    }

    /**
     * Returns the plan.
     *
     * @return the plan that the site was started from
     */
    public SitePlan plan() {
        return plan;
    }

    // -- commands

    /**
     * Waits until all processes are ready, and applies the plan's rules once the entries are.
     *
     * @param timeout the maximum total wait
     * @throws IllegalStateException if a process is not ready in time or the rules are refused
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitReady(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        for (EntryNode entry : entries) {
            awaitReady(entry.process(), entry.http(), deadlineNanos);
        }
        AdminClient.of(client, entries.get(0).http()).applyRules(plan.rules());
        for (AgentNode agent : agents) {
            awaitReady(agent.process(), agent.http(), deadlineNanos);
        }
    }

    /**
     * Waits until every entry reports that it knows all claims, or which entry to ask for them. Until then, during an
     * outage of the table service, an entry cannot state that a refused key was not run.
     *
     * @param timeout the maximum wait
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if an entry does not report it in time
     */
    public void awaitClaimsKnown(Duration timeout) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        for (EntryNode entry : entries) {
            MetricsPage metrics = MetricsPage.of(client, entry.http());
            while (metrics.value(CLAIMS_KNOWN).orElse(0) != 1) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IllegalStateException(entry.process().name() + " does not know all claims; see "
                            + entry.process().log());
                }
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    /** Kills all processes and closes all relays and stand-ins. */
    @Override
    public void close() {
        processes().forEach(ProcessNode::close);
        agents.forEach(agent -> agent.target().close());
        relays.close();
        table.close();
        client.close();
        loops.close();
    }

    private void awaitReady(ProcessNode process, InetSocketAddress http, long deadlineNanos)
            throws InterruptedException {
        Duration remaining = Duration.ofNanos(deadlineNanos - System.nanoTime());
        if (!HealthProbe.of(client).awaitReady(http, remaining)) {
            throw new IllegalStateException(process.name() + " is not ready; see " + process.log());
        }
    }

    // -- construction

    private List<EntryNode> createEntries() {
        List<InetSocketAddress> http = FreePorts.draw(plan.entries());
        List<InetSocketAddress> grpc = FreePorts.draw(plan.entries());
        List<Link> links = grpc.stream().map(relays::relayTo).toList();
        List<EntryNode> nodes = new ArrayList<>();
        for (int i = 0; i < plan.entries(); i++) {
            nodes.add(createEntry(i, http.get(i), grpc.get(i), links));
        }
        return List.copyOf(nodes);
    }

    private EntryNode createEntry(int index, InetSocketAddress http, InetSocketAddress grpc, List<Link> links) {
        String name = "entry-" + (index + 1);
        Link own = links.get(index);
        List<InetSocketAddress> peers =
                links.stream().filter(link -> link != own).map(Link::address).toList();
        Path settings = new SiteSettings(directory)
                .entry(name, plan.zone(index), http, grpc, own.address(), tableLink.address(), peers, plan.policy());
        return new EntryNode(process(name, "entry", settings), plan.zone(index), http, relays.relayTo(http), own);
    }

    private List<AgentNode> createAgents(TaskListener listener) {
        List<InetSocketAddress> http = FreePorts.draw(plan.agents());
        List<InetSocketAddress> targets = FreePorts.draw(plan.agents());
        List<AgentNode> nodes = new ArrayList<>();
        for (int i = 0; i < plan.agents(); i++) {
            nodes.add(createAgent(i, http.get(i), targets.get(i), listener));
        }
        return List.copyOf(nodes);
    }

    private AgentNode createAgent(
            int index, InetSocketAddress http, InetSocketAddress targetAddress, TaskListener listener) {
        String name = "agent-" + (index + 1);
        String zone = plan.zone(index);
        List<InetSocketAddress> addresses =
                entries.stream().map(entry -> entry.grpc().address()).toList();
        Path settings = new SiteSettings(directory).agent(name, zone, plan.slots(), http, addresses);
        Link link = relays.relayTo(targetAddress);
        TargetSettings target = new TargetSettings("target-" + (index + 1), plan.service(), zone, targetAddress, http);
        TargetNode node = new TargetNode(loops, target, TARGET_BEHAVIOUR, listener, link);
        return new AgentNode(process(name, "agent", settings), zone, http, node);
    }

    private ProcessNode process(String name, String role, Path settings) {
        return ProcessNode.of(name, List.of(role, "--settings", settings.toString()), directory);
    }
}
