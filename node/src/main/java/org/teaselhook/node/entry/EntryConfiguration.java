package org.teaselhook.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.teaselhook.core.config.ConfigState;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.Freshness;
import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.core.config.PeerReport;
import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.member.Member;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.ConfigHolder;
import org.teaselhook.node.peer.LocalState;
import org.teaselhook.node.peer.PeerListener;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.node.session.SessionListener;
import org.teaselhook.wire.ConfigDocument;

/**
 * The configuration that this entry holds, and whether it is recent enough to start work. Confined to the control
 * thread.
 */
final class EntryConfiguration implements PeerListener, LocalState, SessionListener {

    private static final long REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EntryIdentity self;
    private final ConfigHolder holder;
    private final Freshness freshness;
    private final Confirmations confirmations = new Confirmations();
    private final Consumer<VersionedRules> onChange;
    private boolean requested;
    private long requestedNanos;
    private ConfigDocument document = ConfigDocument.getDefaultInstance();

    EntryConfiguration(EntryIdentity self, long nowNanos, Consumer<VersionedRules> onChange) {
        this.self = self;
        this.holder = ConfigHolder.of(ConfigState.empty(), this::configChanged);
        this.freshness = Freshness.startedAt(self.name(), nowNanos);
        this.onChange = onChange;
    }

    private void configChanged(VersionedRules next) {
        document = ConfigDocument.newBuilder()
                .setVersion(next.version().value())
                .setText(next.text())
                .setOperation(next.operation())
                .build();
        onChange.accept(next);
    }

    // -- events

    @Override
    public void peerReported(PeerReport report, List<KnownEntry> known, long asOfNanos, long nowNanos) {
        freshness.entriesLearnedFromPeer(known, nowNanos);
        freshness.peerReported(holder.state(), report, asOfNanos, nowNanos);
        confirmations.versionConfirmed(report.version());
    }

    @Override
    public void peerConnected(KnownEntry entry, long nowNanos) {
        freshness.peerConnected(entry, nowNanos);
    }

    @Override
    public void configReceived(ConfigDocument received) {
        offer(received.getVersion(), received.getText(), received.getOperation());
    }

    /** Records the live entries that the table service listed. */
    void entriesListed(List<Member> live, long sentNanos) {
        List<KnownEntry> entries = live.stream()
                .map(member -> new KnownEntry(member.name(), member.incarnation()))
                .toList();
        freshness.entriesListed(entries, sentNanos);
    }

    /**
     * Requests the configuration from an agent that has seen a newer version than the one held, from one agent at a
     * time.
     */
    @Override
    public boolean agentReportedVersion(long nowNanos, AgentInfo agent, long version) {
        holder.state().noteVersion(ConfigVersion.of(version));
        boolean newer = version > current().version().value();
        if (!newer || requested && nowNanos - requestedNanos < REQUEST_INTERVAL_NANOS) {
            return false;
        }
        requested = true;
        requestedNanos = nowNanos;
        LogLine.of("config-asked")
                .with("agent", agent.name())
                .with("version", version)
                .info();
        return true;
    }

    void offer(long version, String text, String operation) {
        if (version > 0) {
            holder.offer(ConfigVersion.of(version), text, operation);
        }
    }

    // -- accessors

    ConfigHolder holder() {
        return holder;
    }

    Confirmations confirmations() {
        return confirmations;
    }

    Freshness freshness() {
        return freshness;
    }

    @Override
    public ConfigDocument document() {
        return document;
    }

    @Override
    public OptionalLong confirmedAgeNanos(long nowNanos) {
        return freshness.confirmedAgeNanos(nowNanos);
    }

    @Override
    public boolean isTableReachable() {
        return freshness.isTableReachable();
    }

    @Override
    public boolean lacksEntries() {
        return freshness.lacksEntries();
    }

    @Override
    public List<KnownEntry> listedEntries() {
        return freshness.listedEntries(self.incarnation());
    }

    VersionedRules current() {
        return holder.state().current();
    }

    Rules rules() {
        return current().rules();
    }

    boolean mayStart(long nowNanos) {
        return freshness.mayStart(nowNanos);
    }

    /** Returns why no work may start now; empty if it may. */
    Optional<Problem> readinessProblem(long nowNanos) {
        return mayStart(nowNanos)
                ? Optional.empty()
                : Optional.of(Problem.of(
                        ProblemKind.NOT_READY, freshness.status(nowNanos).reason()));
    }
}
