package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.wire.AgentFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EntryLinksTest {

    private static final int CONNECTED = 2;
    private static final int ENTRIES = 6;
    private static final long STEP_MILLIS = 100;

    private final Map<InetSocketAddress, FakeStream> open = new HashMap<>();
    private final Set<InetSocketAddress> unreachable = new HashSet<>();
    private AgentFixture agent;
    private int handledDials;

    @BeforeMethod
    public void connect() {
        open.clear();
        unreachable.clear();
        agent = new AgentFixture(CONNECTED);
        open.put(AgentFixture.ADDRESS, agent.connectEntry());
        handledDials = 1;
        runFor(3_000);
    }

    // -- selection

    @Test
    public void shouldConnectOnlyToSelectedEntries() {
        assertEquals(open.keySet(), preferred());
    }

    @Test
    public void shouldReplaceFailedEntryAndReconnectAfterItRecovers() {
        InetSocketAddress lost = preferred().iterator().next();
        unreachable.add(lost);
        agent.links.streamEnded(open.remove(lost), "closed", agent.nowNanos);
        runFor(500);
        assertEquals(open.size(), CONNECTED);
        assertFalse(open.containsKey(lost));

        unreachable.clear();
        runFor(15_000);
        assertEquals(open.keySet(), preferred());
    }

    @Test
    public void shouldReplaceLeavingEntryBeforeItsConnectionEnds() {
        InetSocketAddress leaving = preferred().iterator().next();
        agent.leavingHeartbeat(open.get(leaving));
        agent.advanceMillis(STEP_MILLIS);
        acceptNewConnections();
        assertEquals(open.size(), CONNECTED + 1);
    }

    // -- listed entries

    @Test
    public void shouldKeepListedEntriesUntilListChanges() {
        for (int i = 0; i < 200; i++) {
            agent.advanceMillis(STEP_MILLIS);
            open.values().forEach(agent::heartbeat);
        }
        InetSocketAddress lost = preferred().iterator().next();
        unreachable.add(lost);
        agent.links.streamEnded(open.remove(lost), "closed", agent.nowNanos);
        agent.advanceMillis(STEP_MILLIS);
        acceptNewConnections();
        assertEquals(open.size(), CONNECTED);
    }

    @Test
    public void shouldRemoveEntryThatNoConnectedEntryLists() {
        InetSocketAddress lost = preferred().iterator().next();
        unreachable.add(lost);
        agent.links.streamEnded(open.remove(lost), "closed", agent.nowNanos);
        String[] others = addresses().stream()
                .filter(address -> !address.equals(lost) && !address.equals(AgentFixture.ADDRESS))
                .map(EntryLinksTest::format)
                .toArray(String[]::new);
        for (int i = 0; i < 200; i++) {
            agent.advanceMillis(STEP_MILLIS);
            acceptNewConnections();
            open.values().forEach(stream -> agent.heartbeat(stream, others));
        }
        int dialed = agent.dialed.size();
        runFor(3_000, others);
        assertEquals(agent.dialed.size(), dialed);
    }

    // -- draining

    @Test
    public void shouldCloseSurplusConnectionOnlyWhenDrainingIsConfirmedAndWorkIsDone() {
        FakeStream replacement = replacementWithTask();
        unreachable.clear();
        runFor(3_000);
        assertTrue(open.keySet().containsAll(preferred()));
        assertFalse(replacement.closed());
        assertTrue(lastHeartbeat(replacement).getHeartbeat().getLeaving());

        agent.replies.get(0).complete(AgentFixture.DONE);
        runFor(1_000);
        assertFalse(replacement.closed());
        agent.acknowledge(replacement, 1);
        runFor(1_000);
        assertTrue(replacement.closed());
    }

    @Test
    public void shouldKeepSurplusConnectionWhileEntryDoesNotEcho() {
        FakeStream replacement = replacementWithTask();
        agent.replies.get(0).complete(AgentFixture.DONE);
        agent.acknowledge(replacement, 1);
        unreachable.clear();
        open.remove(replacement.address());
        runFor(1_500);
        assertFalse(replacement.closed());
    }

    @Test
    public void shouldReportLeavingOnlyToDrainingEntry() {
        FakeStream replacement = replacementWithTask();
        unreachable.clear();
        runFor(3_000);
        agent.control.withdraw("lab-1", agent.nowNanos);
        assertLeavingReportedOnlyTo(replacement);
        agent.links.sendHeartbeats(agent.nowNanos);
        assertLeavingReportedOnlyTo(replacement);
    }

    private void assertLeavingReportedOnlyTo(FakeStream draining) {
        open.values()
                .forEach(stream -> assertEquals(
                        lastHeartbeat(stream).getHeartbeat().getLeaving(), stream == draining, "" + stream.address()));
    }

    // -- steps

    /** Disconnects a preferred entry, and starts a task for the entry that replaces it. */
    private FakeStream replacementWithTask() {
        InetSocketAddress lost = preferred().iterator().next();
        Set<InetSocketAddress> before = Set.copyOf(open.keySet());
        unreachable.add(lost);
        agent.links.streamEnded(open.remove(lost), "closed", agent.nowNanos);
        runFor(500);
        FakeStream replacement = open.values().stream()
                .filter(stream -> !before.contains(stream.address()))
                .findFirst()
                .orElseThrow();
        before.stream().filter(open::containsKey).forEach(address -> agent.returnSlots(open.get(address), 1));
        agent.dispatch(replacement, 1);
        assertEquals(agent.startedNumbers, List.of(1L));
        return replacement;
    }

    /** Advances the clock; reachable entries answer new connections with a hello, and send heartbeats that list all. */
    private void runFor(long millis) {
        runFor(millis, listedEntries());
    }

    private void runFor(long millis, String... listedEntries) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            agent.advanceMillis(STEP_MILLIS);
            agent.announce();
            acceptNewConnections();
            open.values().removeIf(FakeStream::closed);
            open.values().forEach(stream -> agent.heartbeat(stream, listedEntries));
        }
    }

    private void acceptNewConnections() {
        for (; handledDials < agent.dialed.size(); handledDials++) {
            FakeStream stream = agent.dialed.get(handledDials);
            if (unreachable.contains(stream.address())) {
                agent.links.streamEnded(stream, "refused", agent.nowNanos);
            } else {
                open.put(stream.address(), stream);
                agent.hello(stream, Incarnation.of(stream.address().getPort()));
            }
        }
    }

    private static AgentFrame lastHeartbeat(FakeStream stream) {
        List<AgentFrame> heartbeats =
                stream.frames().filter(AgentFrame::hasHeartbeat).toList();
        return heartbeats.get(heartbeats.size() - 1);
    }

    private static Set<InetSocketAddress> preferred() {
        EntrySelector selector = new EntrySelector("worker-1", CONNECTED);
        return selector.select(
                addresses().stream().map(a -> new KnownEntry(a, "")).toList());
    }

    private static String[] listedEntries() {
        return addresses().stream().map(EntryLinksTest::format).toArray(String[]::new);
    }

    private static String format(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static List<InetSocketAddress> addresses() {
        return IntStream.range(0, ENTRIES)
                .mapToObj(i -> new InetSocketAddress("127.0.0.1", 9_090 + i))
                .collect(Collectors.toList());
    }
}
