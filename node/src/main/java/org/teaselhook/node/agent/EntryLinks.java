package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.settings.SocketAddresses;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;

/**
 * The connections to all entries. Frames of a connection that was replaced are dropped. Confined to the control thread.
 */
final class EntryLinks {

    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_LINKS = 256;

    private final Dialer dialer;
    private final StreamEvents events;
    private final AgentControl control;
    private final Map<InetSocketAddress, EntryLink> links = new LinkedHashMap<>();
    private long connections;

    EntryLinks(Dialer dialer, StreamEvents events, AgentControl control, List<InetSocketAddress> entries, long now) {
        this.dialer = dialer;
        this.events = events;
        this.control = control;
        entries.forEach(address -> links.put(address, new EntryLink(address, true, now)));
    }

    // -- events

    void received(EntryStream stream, EntryFrame frame, AgentTime time) {
        EntryLink link = links.get(stream.address());
        if (link == null || !link.isOn(stream)) {
            return;
        }
        link.heard(time.nanos());
        if (frame.hasHello()) {
            link.echoed(frame.getHello().getState().getEchoAgentNanos());
            control.connected(stream, frame.getHello(), time).ifPresent(older -> replace(older, time.nanos()));
            learn(frame.getHello().getState(), time.nanos());
        } else {
            if (frame.hasHeartbeat()) {
                link.echoed(frame.getHeartbeat().getEchoAgentNanos());
                learn(frame.getHeartbeat(), time.nanos());
            }
            control.received(stream, frame, time);
        }
    }

    void ended(EntryStream stream, String reason, long nowNanos) {
        EntryLink link = links.get(stream.address());
        if (link != null && link.isOn(stream)) {
            drop(link, reason, nowNanos, false);
        }
    }

    void tick(long nowNanos) {
        for (EntryLink link : new ArrayList<>(links.values())) {
            if (link.isSilent(nowNanos)) {
                drop(link, "silent", nowNanos, true);
            }
            if (link.isDialDue(nowNanos)) {
                dial(link, nowNanos);
            }
        }
        links.values().removeIf(link -> link.isForgotten(nowNanos, FORGET_NANOS));
    }

    void sendAll(AgentFrame frame) {
        for (EntryLink link : links.values()) {
            if (link.hasStream()) {
                link.stream().send(frame);
            }
        }
    }

    void finishAll() {
        for (EntryLink link : links.values()) {
            if (link.hasStream()) {
                link.stream().finish();
            }
        }
        links.clear();
    }

    private void learn(EntryHeartbeat heartbeat, long nowNanos) {
        for (String name : heartbeat.getEntriesList()) {
            SocketAddresses.parse(name).ifPresent(address -> learn(address, nowNanos));
        }
    }

    private void learn(InetSocketAddress address, long nowNanos) {
        EntryLink known = links.get(address);
        if (known != null) {
            known.named(nowNanos);
        } else if (links.size() < MAX_LINKS) {
            links.put(address, new EntryLink(address, false, nowNanos));
        }
    }

    /** Ends an older stream to the same run of an entry; another address of that entry sleeps from then on. */
    private void replace(EntryStream older, long nowNanos) {
        EntryLink link = links.get(older.address());
        if (link != null && link.isOn(older)) {
            link.dropped(nowNanos, true);
            link.dormant(true);
        }
        older.abort();
    }

    private void drop(EntryLink link, String reason, long nowNanos, boolean atOnce) {
        EntryStream stream = link.stream();
        link.dropped(nowNanos, atOnce);
        stream.abort();
        if (control.disconnected(stream, nowNanos)) {
            LogLine.of("entry-disconnected")
                    .with("address", SocketAddresses.format(link.address()))
                    .with("reason", reason)
                    .info();
        }
        links.values().forEach(other -> other.dormant(false));
    }

    private void dial(EntryLink link, long nowNanos) {
        connections++;
        EntryStream stream = dialer.dial(link.address(), events);
        link.dialed(stream, nowNanos);
        stream.send(control.hello(connections, nowNanos));
    }
}
