package org.teaselhook.node.peer;

import java.util.List;
import java.util.OptionalLong;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.KnownEntry;
import org.teaselhook.core.config.PeerReport;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.wire.PeerFrame;
import org.teaselhook.wire.PeerHeartbeat;

/**
 * Converts the frames that entries exchange to and from their contents.
 */
final class PeerFrames {

    private PeerFrames() {}

    // -- to peers

    static PeerHeartbeat.Builder heartbeat(EntryIdentity self, LocalState localState, boolean leaving, long nowNanos) {
        OptionalLong ageNanos = localState.confirmedAgeNanos(nowNanos);
        return PeerHeartbeat.newBuilder()
                .setName(self.name())
                .setIncarnation(self.incarnation().value())
                .setZone(self.zone())
                .setAddress(self.address())
                .setConfigVersion(localState.document().getVersion())
                .setLeaving(leaving)
                .setTableReachable(localState.isTableReachable())
                .setConfirmed(ageNanos.isPresent())
                .setConfirmedAgeNanos(ageNanos.orElse(0))
                .setLacksEntries(localState.lacksEntries());
    }

    static PeerFrame frame(PeerHeartbeat.Builder heartbeat) {
        return PeerFrame.newBuilder().setHeartbeat(heartbeat).build();
    }

    static org.teaselhook.wire.KnownEntry known(KnownEntry entry) {
        return org.teaselhook.wire.KnownEntry.newBuilder()
                .setName(entry.name())
                .setIncarnation(entry.run().value())
                .build();
    }

    // -- from peers

    static PeerInfo info(PeerHeartbeat heartbeat) {
        return new PeerInfo(
                heartbeat.getName(),
                Incarnation.of(heartbeat.getIncarnation()),
                heartbeat.getZone(),
                heartbeat.getAddress(),
                heartbeat.getConfigVersion(),
                heartbeat.getLeaving());
    }

    static PeerReport report(PeerHeartbeat heartbeat) {
        return new PeerReport(
                new KnownEntry(heartbeat.getName(), Incarnation.of(heartbeat.getIncarnation())),
                ConfigVersion.of(heartbeat.getConfigVersion()),
                heartbeat.getLeaving(),
                heartbeat.getConfirmed() ? OptionalLong.of(heartbeat.getConfirmedAgeNanos()) : OptionalLong.empty());
    }

    static List<KnownEntry> known(PeerHeartbeat heartbeat) {
        return heartbeat.getKnownEntriesList().stream()
                .map(entry -> new KnownEntry(entry.getName(), Incarnation.of(entry.getIncarnation())))
                .toList();
    }
}
