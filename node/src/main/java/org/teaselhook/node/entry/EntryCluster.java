package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.admin.Cluster;
import org.teaselhook.node.admin.HeldConfig;
import org.teaselhook.node.admin.ProcessCondition;
import org.teaselhook.node.admin.ProcessKind;
import org.teaselhook.node.admin.ProcessStatus;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.peer.PeerInfo;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.node.session.AgentSessions;
import org.teaselhook.node.session.ConnectedAgent;
import org.teaselhook.node.session.EntryIdentity;

/**
 * The cluster as seen by this entry, for admin requests.
 */
final class EntryCluster implements Cluster {

    private static final long CONFIRM_TIMEOUT_MILLIS = 1_000;

    private final EntryIdentity self;
    private final ControlLoop control;
    private final EntryConfiguration configuration;
    private final AgentSessions sessions;
    private final Peers peers;
    private final BooleanSupplier tableReachable;
    private final BooleanSupplier stopping;

    EntryCluster(
            EntryIdentity self,
            ControlLoop control,
            EntryConfiguration configuration,
            AgentSessions sessions,
            Peers peers,
            BooleanSupplier tableReachable,
            BooleanSupplier stopping) {
        this.self = self;
        this.control = control;
        this.configuration = configuration;
        this.sessions = sessions;
        this.peers = peers;
        this.tableReachable = tableReachable;
        this.stopping = stopping;
    }

    // -- processes

    @Override
    public CompletionStage<List<ProcessStatus>> processes() {
        return CompletableFuture.supplyAsync(this::queryPeers, control).thenCompose(processes -> processes);
    }

    /** Queries the peers as well, because an agent may be connected to only some of the entries. */
    private CompletionStage<List<ProcessStatus>> queryPeers() {
        List<ProcessStatus> entries = entries();
        CompletionStage<Map<Incarnation, ConnectedAgent>> agents =
                CompletableFuture.completedStage(mergeNewest(Map.of(), sessions.connectedAgents()));
        for (PeerInfo peer : peers.live()) {
            CompletionStage<List<ConnectedAgent>> peerAgents = peers.stub(peer.incarnation())
                    .map(PeerAgents::fetch)
                    .orElseGet(() -> CompletableFuture.completedStage(List.of()));
            agents = agents.thenCombine(peerAgents, EntryCluster::mergeNewest);
        }
        return agents.thenApply(found -> combine(entries, found.values()));
    }

    private static Map<Incarnation, ConnectedAgent> mergeNewest(
            Map<Incarnation, ConnectedAgent> known, Collection<ConnectedAgent> more) {
        Map<Incarnation, ConnectedAgent> result = new HashMap<>(known);
        more.forEach(agent -> result.merge(agent.info().incarnation(), agent, EntryCluster::newer));
        return result;
    }

    private static ConnectedAgent newer(ConnectedAgent one, ConnectedAgent other) {
        return one.state().configVersion() >= other.state().configVersion() ? one : other;
    }

    private static List<ProcessStatus> combine(List<ProcessStatus> entries, Collection<ConnectedAgent> agents) {
        List<ProcessStatus> result = new ArrayList<>(entries);
        agents.forEach(agent -> result.add(status(agent)));
        return result;
    }

    private List<ProcessStatus> entries() {
        List<ProcessStatus> result = new ArrayList<>();
        ConfigVersion held = configuration.current().version();
        result.add(new ProcessStatus(ProcessKind.ENTRY, self.name(), self.zone(), held, ProcessCondition.LIVE, 0));
        Set<String> live = new HashSet<>();
        for (PeerInfo peer : peers.live()) {
            live.add(peer.name());
            result.add(status(peer, ProcessCondition.ofResponding(peer.leaving())));
        }
        configuration.freshness().missingEntries(control.nowNanos()).stream()
                .filter(name -> !live.contains(name))
                .forEach(name -> result.add(unresponsive(name)));
        return result;
    }

    private ProcessStatus unresponsive(String name) {
        return peers.lastReport(name)
                .map(peer -> status(peer, ProcessCondition.SILENT))
                .orElseGet(() ->
                        new ProcessStatus(ProcessKind.ENTRY, name, "", ConfigVersion.NONE, ProcessCondition.SILENT, 0));
    }

    private static ProcessStatus status(PeerInfo peer, ProcessCondition condition) {
        return new ProcessStatus(
                ProcessKind.ENTRY, peer.name(), peer.zone(), ConfigVersion.of(peer.configVersion()), condition, 0);
    }

    private static ProcessStatus status(ConnectedAgent agent) {
        return new ProcessStatus(
                ProcessKind.AGENT,
                agent.info().name(),
                agent.info().zone(),
                ConfigVersion.of(agent.state().configVersion()),
                ProcessCondition.ofResponding(agent.state().leaving()),
                agent.info().slots());
    }

    // -- configuration

    @Override
    public CompletionStage<HeldConfig> heldConfig() {
        return CompletableFuture.supplyAsync(
                () -> HeldConfig.of(configuration.current(), tableReachable.getAsBoolean()), control);
    }

    @Override
    public boolean isStopping() {
        return stopping.getAsBoolean();
    }

    /**
     * Completes once another entry has confirmed the change, so that it survives a crash of this entry. Completes
     * without confirmation if no other entry is live, or if none confirms in time.
     */
    @Override
    public CompletionStage<Void> push(ConfigVersion version, String text, String operation) {
        return CompletableFuture.supplyAsync(() -> pushNow(version, text, operation), control)
                .thenCompose(confirmed -> confirmed)
                .completeOnTimeout(null, CONFIRM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CompletionStage<Void> pushNow(ConfigVersion version, String text, String operation) {
        configuration.offer(version.value(), text, operation);
        return peers.live().isEmpty()
                ? CompletableFuture.completedStage(null)
                : configuration.confirmations().await(version);
    }
}
