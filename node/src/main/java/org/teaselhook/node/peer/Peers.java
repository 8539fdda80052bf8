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
 * All links to other entries. Confined to the control thread.
 */
public final class Peers {

    private final EntryIdentity self;
    private final PeerChannels channels;
    private final Executor control;
    private final LongSupplier clock;
    private final PeerEvents events;
    private final PeerKnowledge knowledge;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final KnownRuns runs = new KnownRuns();
    private boolean leaving;

    /**
     * Creates a set without links.
     *
     * @param self who this entry is
     * @param channels opens channels
     * @param control runs on the control thread
     * @param clock the entry's monotonic clock, in nanoseconds
     * @param events told of what peers say
     * @param knowledge what peers are told of the configuration
     */
    public Peers(
            EntryIdentity self,
            PeerChannels channels,
            Executor control,
            LongSupplier clock,
            PeerEvents events,
            PeerKnowledge knowledge) {
        this.self = Objects.requireNonNull(self, "self is null");
        this.channels = Objects.requireNonNull(channels, "channels is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.events = Objects.requireNonNull(events, "events is null");
        this.knowledge = Objects.requireNonNull(knowledge, "knowledge is null");
    }

    // -- links

    /**
     * Dials an address, unless it is this entry's own or dialed already.
     *
     * @param nowNanos the present time
     * @param address the gRPC address (host:port)
     */
    public void add(long nowNanos, String address) {
        if (address.equals(self.address()) || links.containsKey(address)) {
            return;
        }
        LogLine.of("peer-dialed").with("address", address).info();
        links.put(address, new PeerLink(address, channels, control, new Links(), nowNanos));
    }

    /**
     * Drops links to addresses that neither answer nor are known any more.
     *
     * @param nowNanos the present time
     * @param known the addresses to be kept
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
     * Sends a heartbeat on every link and replaces silent connections.
     *
     * @param nowNanos the present time
     */
    public void heartbeatAll(long nowNanos) {
        links.values().forEach(link -> {
            link.checkSilence(nowNanos);
            link.sendHeartbeat(nowNanos);
        });
    }

    /** Sends the configuration in force to every peer. */
    public void pushConfig() {
        links.values().forEach(link -> link.sendConfig(knowledge.document()));
    }

    /**
     * Tells every peer that this entry is leaving.
     *
     * @param nowNanos the present time
     */
    public void leave(long nowNanos) {
        leaving = true;
        heartbeatAll(nowNanos);
    }

    /**
     * Gives every link time again: this process itself did not run.
     *
     * @param nowNanos the present time
     */
    public void resumedAfterPause(long nowNanos) {
        links.values().forEach(link -> link.forgivePause(nowNanos));
    }

    /** Closes every link. */
    public void close() {
        links.values().forEach(PeerLink::close);
    }

    // -- frames

    /**
     * Takes a frame from a stream that another entry dialed.
     *
     * @param nowNanos the present time
     * @param stream answers go here
     * @param frame the frame
     */
    public void received(long nowNanos, StreamObserver<PeerFrame> stream, PeerFrame frame) {
        if (frame.hasConfig()) {
            events.configReceived(frame.getConfig());
            SessionStreams.send(stream, PeerFrames.frame(heartbeat(nowNanos)));
        }
        if (!frame.hasHeartbeat()) {
            return;
        }
        PeerHeartbeat heartbeat = frame.getHeartbeat();
        add(nowNanos, heartbeat.getAddress());
        if (!heartbeat.getLeaving()) {
            events.peerDialed(PeerFrames.word(heartbeat).entry(), nowNanos);
        }
        PeerHeartbeat.Builder answer = heartbeat(nowNanos).setEchoSequence(heartbeat.getSequence());
        if (heartbeat.getLacksEntries()) {
            knowledge.listedEntries().forEach(entry -> answer.addKnownEntries(PeerFrames.known(entry)));
        }
        SessionStreams.send(stream, PeerFrames.frame(answer));
        if (heartbeat.getConfigVersion() < knowledge.document().getVersion()) {
            SessionStreams.send(
                    stream,
                    PeerFrame.newBuilder().setConfig(knowledge.document()).build());
        }
    }

    private PeerHeartbeat.Builder heartbeat(long nowNanos) {
        return PeerFrames.heartbeat(self, knowledge, leaving, nowNanos);
    }

    private final class Links implements PeerLink.LinkOwner {

        @Override
        public PeerHeartbeat.Builder heartbeat(long nowNanos) {
            return Peers.this.heartbeat(nowNanos);
        }

        @Override
        public void received(PeerLink link, PeerFrame frame) {
            if (frame.hasConfig()) {
                events.configReceived(frame.getConfig());
            }
            if (frame.hasHeartbeat()) {
                heartbeatReceived(link, frame.getHeartbeat());
            }
        }
    }

    private void heartbeatReceived(PeerLink link, PeerHeartbeat heartbeat) {
        long asOfNanos = link.heard(PeerFrames.info(heartbeat), heartbeat.getEchoSequence());
        events.peerSpoke(PeerFrames.word(heartbeat), PeerFrames.known(heartbeat), asOfNanos, clock.getAsLong());
        if (heartbeat.getConfigVersion() < knowledge.document().getVersion()) {
            link.sendConfig(knowledge.document());
        }
    }

    // -- accessors

    /**
     * Returns the entries that have spoken within the last 2 s and are not leaving.
     *
     * @return what they said, without this entry
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
     * Returns what an entry said last, however long ago.
     *
     * @param name the entry's name
     * @return what it said, or empty if it never spoke or is forgotten
     */
    public Optional<PeerInfo> lastHeard(String name) {
        return links.values().stream()
                .flatMap(link -> link.peer().stream())
                .filter(peer -> peer.name().equals(name))
                .findFirst();
    }

    /**
     * Tells whether every run of an entry that may hold claims that this entry has not read answers now.
     *
     * @return true if none is missing; false until the log of claims was read while the entries stayed the same
     */
    public boolean noneLost() {
        return runs.noneLost(liveIncarnations());
    }

    /**
     * Notes which runs are live; to be called several times a second.
     *
     * @param nowNanos the present time
     * @param current whether the log of claims is read to its end
     */
    public void observe(long nowNanos, boolean current) {
        runs.observe(nowNanos, liveIncarnations(), current);
    }

    /**
     * Tells whether all of some runs answer now.
     *
     * @param others the runs
     * @return true if none is missing
     */
    public boolean areLive(Collection<Incarnation> others) {
        return liveIncarnations().containsAll(others);
    }

    private Set<Incarnation> liveIncarnations() {
        return live().stream().map(PeerInfo::incarnation).collect(Collectors.toSet());
    }

    /**
     * Finds the calls to a run of another entry, whether it is leaving or not.
     *
     * @param incarnation the run
     * @return a stub, or empty if that run does not answer now
     */
    public Optional<EntryServiceGrpc.EntryServiceStub> calls(Incarnation incarnation) {
        long now = clock.getAsLong();
        return links.values().stream()
                .filter(link -> link.leadsTo(incarnation) && link.isLive(now))
                .findFirst()
                .map(PeerLink::calls);
    }
}
