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
import org.teaselhook.core.config.PeerWord;
import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.member.Member;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.config.ConfigHolder;
import org.teaselhook.node.peer.PeerEvents;
import org.teaselhook.node.peer.PeerKnowledge;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.node.session.SessionEvents;
import org.teaselhook.wire.ConfigDocument;

/**
 * The configuration that this entry holds, and whether it is recent enough to start work. Confined to the control
 * thread.
 */
final class EntryConfiguration implements PeerEvents, PeerKnowledge, SessionEvents {

    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final EntryIdentity self;
    private final ConfigHolder holder;
    private final Freshness freshness;
    private final Confirmations confirmations = new Confirmations();
    private final Consumer<VersionedRules> onChange;
    private boolean asked;
    private long askedNanos;
    private ConfigDocument document = ConfigDocument.getDefaultInstance();

    EntryConfiguration(EntryIdentity self, long nowNanos, Consumer<VersionedRules> onChange) {
        this.self = self;
        this.holder = ConfigHolder.of(ConfigState.empty(), this::changed);
        this.freshness = Freshness.startedAt(self.name(), nowNanos);
        this.onChange = onChange;
    }

    private void changed(VersionedRules next) {
        document = ConfigDocument.newBuilder()
                .setVersion(next.version().value())
                .setText(next.text())
                .setOperation(next.operation())
                .build();
        onChange.accept(next);
    }

    // -- events

    @Override
    public void peerSpoke(PeerWord word, List<KnownEntry> known, long asOfNanos, long nowNanos) {
        freshness.entriesInherited(known, nowNanos);
        freshness.peerHeard(holder.state(), word, asOfNanos, nowNanos);
        confirmations.confirmed(word.version());
    }

    @Override
    public void peerDialed(KnownEntry entry, long nowNanos) {
        freshness.dialedBy(entry, nowNanos);
    }

    @Override
    public void configReceived(ConfigDocument received) {
        offer(received.getVersion(), received.getText(), received.getOperation());
    }

    /** The table service has listed the live entries. */
    void entriesListed(List<Member> live, long sentNanos) {
        List<KnownEntry> entries = live.stream()
                .map(member -> new KnownEntry(member.name(), member.incarnation()))
                .toList();
        freshness.entriesListed(entries, sentNanos);
    }

    /** If an agent has seen a newer version than the one held, this entry is behind, and asks one agent at a time. */
    @Override
    public boolean agentSawVersion(long nowNanos, AgentInfo agent, long version) {
        holder.state().heard(ConfigVersion.of(version));
        boolean newer = version > current().version().value();
        if (!newer || asked && nowNanos - askedNanos < ASK_INTERVAL_NANOS) {
            return false;
        }
        asked = true;
        askedNanos = nowNanos;
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

    /** Returns why nothing may start now. */
    Optional<Problem> notReady(long nowNanos) {
        return mayStart(nowNanos)
                ? Optional.empty()
                : Optional.of(Problem.of(
                        ProblemKind.NOT_READY, freshness.verdict(nowNanos).reason()));
    }
}
