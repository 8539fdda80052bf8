package org.teaselhook.node.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.session.EntryIdentity;
import org.teaselhook.node.session.SessionStreams;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.PeerFrame;
import org.teaselhook.wire.PeerHeartbeat;

/**
 * The links to all other entries. Confined to the control thread.
 */
public final class Peers {

    private final EntryIdentity self;
    private final PeerChannels channels;
    private final Executor control;
    private final LongSupplier clock;
    private final PeerListener listener;
    private final LocalState localState;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final KnownIncarnations knownIncarnations = new KnownIncarnations();
    private boolean leaving;

    /**
     * Creates a set without links.
     *
     * @param self the identity of this entry
     * @param channels opens channels
     * @param control runs on the control thread
     * @param clock the entry's monotonic clock, in nanoseconds
     * @param listener receives the reports of peers
     * @param localState the state that is reported to peers
     */
    public Peers(
            EntryIdentity self,
            PeerChannels channels,
            Executor control,
            LongSupplier clock,
            PeerListener listener,
            LocalState localState) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.channels = Objects.requireNonNull(channels, "channels is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        this.localState = Objects.requireNonNull(localState, "localState is null");
    }

    // -- links

    /**
     * Opens a link to an address, unless it is this entry's own or already linked.
     *
     * @param nowNanos the current time
     * @param address the gRPC address (host:port)
     */
    public void add(long nowNanos, String address) {
        if (address.equals(self.address()) || links.containsKey(address)) {
            return;
        }
        LogLine.of("peer-dialed").with("address", address).info();
        links.put(address, new PeerLink(address, channels, control, new Callbacks(), nowNanos));
    }

    /**
     * Closes links to addresses that are neither live nor known any more.
     *
     * @param nowNanos the current time
     * @param known the addresses to keep
     */
    public void retain(long nowNanos, List<String> known) {
        List<PeerLink> dropped = links.values().stream()
                .filter(link -> !known.contains(link.address()) && !link.isLive(nowNanos))
                .collect(Collectors.toList());
        dropped.forEach(link -> {
            links.remove(link.address());
            link.close();
            LogLine.of("peer-dropped").with("address", link.address()).info();
        });
    }

    /**
     * Sends a heartbeat on every link and replaces connections that have timed out.
     *
     * @param nowNanos the current time
     */
    public void heartbeatAll(long nowNanos) {
        links.values().forEach(link -> {
            link.reconnectIfTimedOut(nowNanos);
            link.sendHeartbeat(nowNanos);
        });
    }

    /** Sends the configuration in force to every peer. */
    public void pushConfig() {
        links.values().forEach(link -> link.sendConfig(localState.document()));
    }

    /**
     * Reports to every peer that this entry is stopping.
     *
     * @param nowNanos the current time
     */
    public void leave(long nowNanos) {
        leaving = true;
        heartbeatAll(nowNanos);
    }

    /**
     * Restarts the heartbeat timeout of every link after a pause of this process.
     *
     * @param nowNanos the current time
     */
    public void resumedAfterPause(long nowNanos) {
        links.values().forEach(link -> link.restartTimeout(nowNanos));
    }

    /** Closes every link. */
    public void close() {
        links.values().forEach(PeerLink::close);
    }

    // -- frames

    /**
     * Handles a frame from a stream that another entry opened.
     *
     * @param nowNanos the current time
     * @param stream the stream for replies
     * @param frame the frame
     */
    public void received(long nowNanos, StreamObserver<PeerFrame> stream, PeerFrame frame) {
        if (frame.hasConfig()) {
            listener.configReceived(frame.getConfig());
            SessionStreams.send(stream, PeerFrames.frame(heartbeat(nowNanos)));
        }
        if (!frame.hasHeartbeat()) {
            return;
        }
        PeerHeartbeat heartbeat = frame.getHeartbeat();
        add(nowNanos, heartbeat.getAddress());
        if (!heartbeat.getLeaving()) {
            listener.peerConnected(PeerFrames.report(heartbeat).entry(), nowNanos);
        }
        PeerHeartbeat.Builder answer = heartbeat(nowNanos).setEchoSequence(heartbeat.getSequence());
        if (heartbeat.getLacksEntries()) {
            localState.listedEntries().forEach(entry -> answer.addKnownEntries(PeerFrames.known(entry)));
        }
        SessionStreams.send(stream, PeerFrames.frame(answer));
        if (heartbeat.getConfigVersion() < localState.document().getVersion()) {
            SessionStreams.send(
                    stream,
                    PeerFrame.newBuilder().setConfig(localState.document()).build());
        }
    }

    private PeerHeartbeat.Builder heartbeat(long nowNanos) {
        return PeerFrames.heartbeat(self, localState, leaving, nowNanos);
    }

    private final class Callbacks implements PeerLink.LinkCallbacks {

        @Override
        public PeerHeartbeat.Builder heartbeat(long nowNanos) {
            return Peers.this.heartbeat(nowNanos);
        }

        @Override
        public void received(PeerLink link, PeerFrame frame) {
            if (frame.hasConfig()) {
                listener.configReceived(frame.getConfig());
            }
            if (frame.hasHeartbeat()) {
                heartbeatReceived(link, frame.getHeartbeat());
            }
        }
    }

    private void heartbeatReceived(PeerLink link, PeerHeartbeat heartbeat) {
        long asOfNanos = link.recordHeartbeat(PeerFrames.info(heartbeat), heartbeat.getEchoSequence());
        listener.peerReported(PeerFrames.report(heartbeat), PeerFrames.known(heartbeat), asOfNanos, clock.getAsLong());
        if (heartbeat.getConfigVersion() < localState.document().getVersion()) {
            link.sendConfig(localState.document());
        }
    }

    // -- accessors

    /**
     * Returns the entries that were alive within the last 2 s and are not stopping.
     *
     * @return their last reports, without this entry
     */
    public List<PeerInfo> live() {
        long now = clock.getAsLong();
        List<PeerInfo> result = new ArrayList<>();
        for (PeerLink link : links.values()) {
            link.peer().filter(peer -> link.isLive(now) && !peer.leaving()).ifPresent(result::add);
        }
        return result;
    }

    /**
     * Returns the last report of an entry, regardless of its age.
     *
     * @param name the entry's name
     * @return its last report, or empty if it never reported or its link was closed
     */
    public Optional<PeerInfo> lastReport(String name) {
        return links.values().stream()
                .flatMap(link -> link.peer().stream())
                .filter(peer -> peer.name().equals(name))
                .findFirst();
    }

    /**
     * Tells whether every incarnation that may hold claims which this entry has not read is live.
     *
     * @return true if none is missing; false until the log of claims was read while the set of entries was stable
     */
    public boolean allKnownLive() {
        return knownIncarnations.allKnownLive(liveIncarnations());
    }

    /**
     * Records which incarnations are live; must be called several times a second.
     *
     * @param nowNanos the current time
     * @param logCurrent whether the log of claims is read to its end
     */
    public void observe(long nowNanos, boolean logCurrent) {
        knownIncarnations.observe(nowNanos, liveIncarnations(), logCurrent);
    }

    /**
     * Tells whether all given incarnations are live.
     *
     * @param others the incarnations
     * @return true if none is missing
     */
    public boolean areLive(Collection<Incarnation> others) {
        return liveIncarnations().containsAll(others);
    }

    private Set<Incarnation> liveIncarnations() {
        return live().stream().map(PeerInfo::incarnation).collect(Collectors.toSet());
    }

    /**
     * Returns a stub for an incarnation of another entry, even if it is stopping.
     *
     * @param incarnation the incarnation
     * @return the stub, or empty if that incarnation is not live
     */
    public Optional<EntryServiceGrpc.EntryServiceStub> stub(Incarnation incarnation) {
        long now = clock.getAsLong();
        return links.values().stream()
                .filter(link -> link.isConnectedTo(incarnation) && link.isLive(now))
                .findFirst()
                .map(PeerLink::stub);
    }
}
