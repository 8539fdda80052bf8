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
 * The connections to entries: to all of them, or to the selected ones if there are more than the settings allow. An
 * entry that fails or leaves is replaced by the next in rank until it recovers. A surplus connection is drained: it is
 * closed once the entry has confirmed that it sends no more dispatches and none of its work is left. Frames of a
 * replaced connection are dropped. Confined to the control thread.
 */
final class EntryLinks {

    private static final long ENTRY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int MAX_LINKS = 256;

    private final Dialer dialer;
    private final StreamListener listener;
    private final AgentControl control;
    private final EntrySelector selector;
    private final Map<InetSocketAddress, EntryLink> links = new LinkedHashMap<>();
    private List<KnownEntry> candidates = List.of();
    private List<KnownEntry> usable = List.of();
    private long connectionCount;

    EntryLinks(
            Dialer dialer,
            StreamListener listener,
            AgentControl control,
            EntrySelector selector,
            List<InetSocketAddress> entries,
            long now) {
        this.dialer = dialer;
        this.listener = listener;
        this.control = control;
        this.selector = selector;
        entries.forEach(address -> links.put(address, new EntryLink(address, true, now)));
    }

    // -- events

    void frameReceived(EntryStream stream, EntryFrame frame, AgentTime time) {
        EntryLink link = links.get(stream.address());
        if (link == null || !link.isCurrentStream(stream)) {
            return;
        }
        link.frameReceived(time.nanos());
        if (frame.hasHello()) {
            link.established(frame.getHello().getZone());
            link.setEntryLeaving(frame.getHello().getState().getLeaving());
            link.echoReceived(frame.getHello().getState().getEchoAgentNanos());
            control.helloReceived(stream, frame.getHello(), time)
                    .ifPresent(older -> closeReplaced(older, time.nanos()));
            updateListedEntries(link, frame.getHello().getState(), time.nanos());
        } else {
            if (frame.hasHeartbeat()) {
                link.setEntryLeaving(frame.getHeartbeat().getLeaving());
                link.echoReceived(frame.getHeartbeat().getEchoAgentNanos());
                updateListedEntries(link, frame.getHeartbeat(), time.nanos());
            }
            control.frameReceived(stream, frame, time);
        }
    }

    void streamEnded(EntryStream stream, String reason, long nowNanos) {
        EntryLink link = links.get(stream.address());
        if (link != null && link.isCurrentStream(stream)) {
            link.connectionFailed(nowNanos);
            dropConnection(link, reason, nowNanos, false);
        }
    }

    void tick(long nowNanos) {
        for (EntryLink link : new ArrayList<>(links.values())) {
            if (link.isTimedOut(nowNanos)) {
                link.connectionFailed(nowNanos);
                dropConnection(link, "silent", nowNanos, true);
            }
        }
        updateSelection(nowNanos);
        for (EntryLink link : new ArrayList<>(links.values())) {
            if (link.isDialDue(nowNanos)) {
                dial(link, nowNanos);
            }
        }
        drainSurplus(nowNanos);
        links.values().removeIf(link -> link.isExpired(nowNanos, ENTRY_EXPIRY_NANOS));
    }

    /** Sends a heartbeat on every connection. */
    void sendHeartbeats(long nowNanos) {
        AgentHeartbeat state = control.heartbeat(nowNanos);
        for (EntryLink link : links.values()) {
            if (link.hasStream()) {
                link.stream().send(AgentFrames.heartbeat(state, link.isDraining()));
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

    /** Records the entries that a heartbeat lists; a heartbeat without a list refers to the previous list. */
    private void updateListedEntries(EntryLink link, EntryHeartbeat heartbeat, long nowNanos) {
        if (heartbeat.getEntriesCount() > 0) {
            link.updateListedEntries(listedEntries(heartbeat));
        }
        link.listedEntries().forEach(entry -> entryListed(entry, nowNanos));
    }

    private static List<KnownEntry> listedEntries(EntryHeartbeat heartbeat) {
        List<KnownEntry> result = new ArrayList<>();
        for (int i = 0; i < heartbeat.getEntriesCount(); i++) {
            String zone = i < heartbeat.getEntryZonesCount() ? heartbeat.getEntryZones(i) : "";
            SocketAddresses.parse(heartbeat.getEntries(i))
                    .ifPresent(address -> result.add(new KnownEntry(address, zone)));
        }
        return result;
    }

    private void entryListed(KnownEntry entry, long nowNanos) {
        if (links.containsKey(entry.address()) || links.size() < MAX_LINKS) {
            links.computeIfAbsent(entry.address(), newAddress -> new EntryLink(newAddress, false, nowNanos))
                    .listed(entry.zone(), nowNanos);
        }
    }

    // -- selection

    /** Selects the preferred entries, and the next in rank in place of those that fail or leave. */
    private void updateSelection(long nowNanos) {
        List<KnownEntry> newCandidates = entriesMatching(EntryLink::isCandidate);
        List<KnownEntry> newUsable = entriesMatching(link -> link.isUsable(nowNanos));
        if (newCandidates.equals(candidates) && newUsable.equals(usable)) {
            return;
        }
        candidates = newCandidates;
        usable = newUsable;
        Set<InetSocketAddress> selected = selector.select(candidates);
        selected.addAll(selector.select(usable));
        links.values().forEach(link -> link.setSelected(selected.contains(link.address())));
    }

    private List<KnownEntry> entriesMatching(Predicate<EntryLink> eligible) {
        return links.values().stream().filter(eligible).map(EntryLink::entry).toList();
    }

    private void drainSurplus(long nowNanos) {
        boolean selectedEstablished = links.values().stream()
                .filter(link -> link.isSelected() && link.isUsable(nowNanos))
                .allMatch(EntryLink::isEstablished);
        for (EntryLink link : links.values()) {
            if (link.isEstablished() && link.isDraining() != (selectedEstablished && !link.isSelected())) {
                toggleDraining(link, nowNanos);
            } else if (link.isDrainingConfirmed() && control.isDrained(link.stream())) {
                closeDrained(link, nowNanos);
            }
        }
    }

    /** Starts or cancels draining, and notifies the entry. */
    private void toggleDraining(EntryLink link, long nowNanos) {
        if (link.isDraining()) {
            link.cancelDraining();
        } else {
            link.startDraining(nowNanos);
        }
        control.setDraining(link.stream(), link.isDraining());
        link.stream().send(AgentFrames.heartbeat(control.heartbeat(nowNanos), link.isDraining()));
    }

    private void closeDrained(EntryLink link, long nowNanos) {
        EntryStream stream = link.stream();
        link.streamDropped(nowNanos, true);
        stream.finish();
        control.streamEnded(stream, nowNanos);
        LogLine.of("entry-parted")
                .with("address", SocketAddresses.format(link.address()))
                .info();
    }

    /**
     * Closes an older stream to the same incarnation of an entry. If it used another address, that address is not
     * dialed again until a connection is dropped.
     */
    private void closeReplaced(EntryStream older, long nowNanos) {
        EntryLink link = links.get(older.address());
        if (link != null && link.isCurrentStream(older)) {
            link.streamDropped(nowNanos, true);
            link.setDuplicate(true);
        }
        older.abort();
    }

    private void dropConnection(EntryLink link, String reason, long nowNanos, boolean immediately) {
        EntryStream stream = link.stream();
        link.streamDropped(nowNanos, immediately);
        stream.abort();
        if (control.streamEnded(stream, nowNanos)) {
            LogLine.of("entry-disconnected")
                    .with("address", SocketAddresses.format(link.address()))
                    .with("reason", reason)
                    .info();
        }
        links.values().forEach(other -> other.setDuplicate(false));
    }

    private void dial(EntryLink link, long nowNanos) {
        connectionCount++;
        EntryStream stream = dialer.dial(link.address(), listener);
        link.dialed(stream, nowNanos);
        stream.send(control.hello(connectionCount, nowNanos));
    }
}
