package org.teaselhook.node.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.node.admin.Cluster;
import org.teaselhook.node.admin.HeldConfig;
import org.teaselhook.node.admin.ProcessKind;
import org.teaselhook.node.admin.ProcessStatus;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.peer.PeerInfo;
import org.teaselhook.node.peer.Peers;
import org.teaselhook.node.session.AgentSessions;
import org.teaselhook.node.session.ConnectedAgent;
import org.teaselhook.node.session.EntryIdentity;

/**
 * The running system as this entry sees it, for operators' requests.
 */
final class EntryCluster implements Cluster {

    private static final long CONFIRM_WAIT_MILLIS = 1_000;

    private final EntryIdentity self;
    private final ControlLoop control;
    private final EntryConfiguration configuration;
    private final AgentSessions sessions;
    private final Peers peers;
    private final BooleanSupplier tableReachable;

    EntryCluster(
            EntryIdentity self,
            ControlLoop control,
            EntryConfiguration configuration,
            AgentSessions sessions,
            Peers peers,
            BooleanSupplier tableReachable) {
        this.self = self;
        this.control = control;
        this.configuration = configuration;
        this.sessions = sessions;
        this.peers = peers;
        this.tableReachable = tableReachable;
    }

    @Override
    public CompletionStage<List<ProcessStatus>> processes() {
        return CompletableFuture.supplyAsync(this::currentProcesses, control);
    }

    private List<ProcessStatus> currentProcesses() {
        List<ProcessStatus> result = new ArrayList<>();
        result.add(new ProcessStatus(
                ProcessKind.ENTRY,
                self.name(),
                self.zone(),
                configuration.current().version(),
                false,
                0));
        peers.live().forEach(peer -> result.add(status(peer)));
        sessions.connectedAgents().forEach(agent -> result.add(status(agent)));
        return result;
    }

    private static ProcessStatus status(PeerInfo peer) {
        return new ProcessStatus(
                ProcessKind.ENTRY, peer.name(), peer.zone(), ConfigVersion.of(peer.configVersion()), peer.leaving(), 0);
    }

    private static ProcessStatus status(ConnectedAgent agent) {
        return new ProcessStatus(
                ProcessKind.AGENT,
                agent.info().name(),
                agent.info().zone(),
                ConfigVersion.of(agent.state().configVersion()),
                agent.state().leaving(),
                agent.info().slots());
    }

    @Override
    public CompletionStage<HeldConfig> held() {
        return CompletableFuture.supplyAsync(
                () -> HeldConfig.of(configuration.current(), tableReachable.getAsBoolean()), control);
    }

    /** A change is not answered before it would outlast the death of this entry, unless no other entry answers. */
    @Override
    public CompletionStage<Void> push(ConfigVersion version, String text, String operation) {
        return CompletableFuture.supplyAsync(() -> pushNow(version, text, operation), control)
                .thenCompose(confirmed -> confirmed)
                .completeOnTimeout(null, CONFIRM_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private CompletionStage<Void> pushNow(ConfigVersion version, String text, String operation) {
        configuration.offer(version.value(), text, operation);
        return peers.live().isEmpty()
                ? CompletableFuture.completedStage(null)
                : configuration.confirmations().of(version);
    }
}
