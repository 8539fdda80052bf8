package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.settings.SocketAddresses;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;

/**
 * The connections to entries: to all of them, or to the chosen ones if there are more than the settings allow. An entry
 * that fails or leaves is replaced by the next in rank until it is back. A connection that is no longer wanted ends
 * when the entry is known to place nothing more here and nothing of it is under way. Frames of a connection that was
 * replaced are dropped. Confined to the control thread.
 */
final class EntryLinks {

    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_LINKS = 256;

    private final Dialer dialer;
    private final StreamEvents events;
    private final AgentControl control;
    private final EntryChoice choice;
    private final Map<InetSocketAddress, EntryLink> links = new LinkedHashMap<>();
    private List<KnownEntry> candidates = List.of();
    private List<KnownEntry> usable = List.of();
    private long connections;

    EntryLinks(
            Dialer dialer,
            StreamEvents events,
            AgentControl control,
            EntryChoice choice,
            List<InetSocketAddress> entries,
            long now) {
        this.dialer = dialer;
        this.events = events;
        this.control = control;
        this.choice = choice;
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
            link.greeted(frame.getHello().getZone());
            link.entryLeaving(frame.getHello().getState().getLeaving());
            link.echoed(frame.getHello().getState().getEchoAgentNanos());
            control.connected(stream, frame.getHello(), time).ifPresent(older -> replace(older, time.nanos()));
            learn(link, frame.getHello().getState(), time.nanos());
        } else {
            if (frame.hasHeartbeat()) {
                link.entryLeaving(frame.getHeartbeat().getLeaving());
                link.echoed(frame.getHeartbeat().getEchoAgentNanos());
                learn(link, frame.getHeartbeat(), time.nanos());
            }
            control.received(stream, frame, time);
        }
    }

    void ended(EntryStream stream, String reason, long nowNanos) {
        EntryLink link = links.get(stream.address());
        if (link != null && link.isOn(stream)) {
            link.failed(nowNanos);
            drop(link, reason, nowNanos, false);
        }
    }

    void tick(long nowNanos) {
        for (EntryLink link : new ArrayList<>(links.values())) {
            if (link.isSilent(nowNanos)) {
                link.failed(nowNanos);
                drop(link, "silent", nowNanos, true);
            }
        }
        choose(nowNanos);
        for (EntryLink link : new ArrayList<>(links.values())) {
            if (link.isDialDue(nowNanos)) {
                dial(link, nowNanos);
            }
        }
        partFromSurplus(nowNanos);
        links.values().removeIf(link -> link.isForgotten(nowNanos, FORGET_NANOS));
    }

    /** Sends a heartbeat on every connection. */
    void heartbeat(long nowNanos) {
        AgentHeartbeat state = control.heartbeat(nowNanos);
        for (EntryLink link : links.values()) {
            if (link.hasStream()) {
                link.stream().send(AgentFrames.heartbeat(state, link.isParting()));
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

    /** Takes the entries that a heartbeat names; one without names means those that were named last. */
    private void learn(EntryLink link, EntryHeartbeat heartbeat, long nowNanos) {
        if (heartbeat.getEntriesCount() > 0) {
            link.names(names(heartbeat));
        }
        link.names().forEach(entry -> learn(entry, nowNanos));
    }

    private static List<KnownEntry> names(EntryHeartbeat heartbeat) {
        List<KnownEntry> result = new ArrayList<>();
        for (int i = 0; i < heartbeat.getEntriesCount(); i++) {
            String zone = i < heartbeat.getEntryZonesCount() ? heartbeat.getEntryZones(i) : "";
            SocketAddresses.parse(heartbeat.getEntries(i))
                    .ifPresent(address -> result.add(new KnownEntry(address, zone)));
        }
        return result;
    }

    private void learn(KnownEntry entry, long nowNanos) {
        if (links.containsKey(entry.address()) || links.size() < MAX_LINKS) {
            links.computeIfAbsent(entry.address(), unknown -> new EntryLink(unknown, false, nowNanos))
                    .named(entry.zone(), nowNanos);
        }
    }

    // -- the choice

    /** Wants the chosen entries, and in place of those that fail or leave the next in rank. */
    private void choose(long nowNanos) {
        List<KnownEntry> nowCandidates = entries(EntryLink::isCandidate);
        List<KnownEntry> nowUsable = entries(link -> link.isUsable(nowNanos));
        if (nowCandidates.equals(candidates) && nowUsable.equals(usable)) {
            return;
        }
        candidates = nowCandidates;
        usable = nowUsable;
        Set<InetSocketAddress> wanted = choice.choose(candidates);
        wanted.addAll(choice.choose(usable));
        links.values().forEach(link -> link.wanted(wanted.contains(link.address())));
    }

    private List<KnownEntry> entries(Predicate<EntryLink> eligible) {
        return links.values().stream().filter(eligible).map(EntryLink::entry).toList();
    }

    private void partFromSurplus(long nowNanos) {
        boolean served = links.values().stream()
                .filter(link -> link.isWanted() && link.isUsable(nowNanos))
                .allMatch(EntryLink::isGreeted);
        for (EntryLink link : links.values()) {
            if (link.isGreeted() && link.isParting() != (served && !link.isWanted())) {
                turn(link, nowNanos);
            } else if (link.isPartingKnown() && control.isQuiet(link.stream())) {
                part(link, nowNanos);
            }
        }
    }

    /** Tells an entry to place nothing more here, or takes that back. */
    private void turn(EntryLink link, long nowNanos) {
        if (link.isParting()) {
            link.stay();
        } else {
            link.part(nowNanos);
        }
        control.parting(link.stream(), link.isParting());
        link.stream().send(AgentFrames.heartbeat(control.heartbeat(nowNanos), link.isParting()));
    }

    private void part(EntryLink link, long nowNanos) {
        EntryStream stream = link.stream();
        link.dropped(nowNanos, true);
        stream.finish();
        control.disconnected(stream, nowNanos);
        LogLine.of("entry-parted")
                .with("address", SocketAddresses.format(link.address()))
                .info();
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
