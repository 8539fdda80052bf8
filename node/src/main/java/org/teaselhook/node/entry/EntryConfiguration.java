package org.teaselhook.node.entry;

import java.util.Optional;
import java.util.function.Consumer;

import org.teaselhook.core.config.ConfigState;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.Freshness;
import org.teaselhook.core.config.VersionedRules;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.node.config.ConfigHolder;
import org.teaselhook.node.peer.PeerEvents;
import org.teaselhook.node.peer.PeerInfo;
import org.teaselhook.wire.ConfigDocument;

/**
 * The configuration that this entry holds, and whether it is recent enough to start work. Confined to the control
 * thread.
 */
final class EntryConfiguration implements PeerEvents {

    private final ConfigHolder holder;
    private final Freshness freshness;
    private final Consumer<VersionedRules> onChange;
    private ConfigDocument document = ConfigDocument.getDefaultInstance();

    EntryConfiguration(long nowNanos, Consumer<VersionedRules> onChange) {
        this.holder = ConfigHolder.of(ConfigState.empty(), this::changed);
        this.freshness = Freshness.startedAt(nowNanos);
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
    public void peerSpoke(PeerInfo peer, long asOfNanos) {
        freshness.peerHeard(holder.state(), ConfigVersion.of(peer.configVersion()), asOfNanos);
    }

    @Override
    public void configReceived(ConfigDocument received) {
        offer(received.getVersion(), received.getText(), received.getOperation());
    }

    /** An agent has seen a version; if it is newer than the one held, this entry is behind. */
    void agentSaw(long version) {
        holder.state().heard(ConfigVersion.of(version));
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

    Freshness freshness() {
        return freshness;
    }

    ConfigDocument document() {
        return document;
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
