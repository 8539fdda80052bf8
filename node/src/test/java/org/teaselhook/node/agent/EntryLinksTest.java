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
    private final Set<InetSocketAddress> dead = new HashSet<>();
    private AgentFixture agent;
    private int seen;

    @BeforeMethod
    public void connect() {
        open.clear();
        dead.clear();
        agent = new AgentFixture(CONNECTED);
        open.put(AgentFixture.ADDRESS, agent.ready());
        seen = 1;
        run(3_000);
    }

    // -- choice

    @Test
    public void shouldConnectToTheChosenEntriesOnly() {
        assertEquals(open.keySet(), preferred());
    }

    @Test
    public void shouldReplaceEntryThatDiesAndReturnToItWhenItIsBack() {
        InetSocketAddress lost = preferred().iterator().next();
        dead.add(lost);
        agent.links.ended(open.remove(lost), "closed", agent.nowNanos);
        run(500);
        assertEquals(open.size(), CONNECTED);
        assertFalse(open.containsKey(lost));

        dead.clear();
        run(15_000);
        assertEquals(open.keySet(), preferred());
    }

    @Test
    public void shouldReplaceEntryThatLeavesBeforeItsConnectionEnds() {
        InetSocketAddress leaving = preferred().iterator().next();
        agent.leavingHeartbeat(open.get(leaving));
        agent.advanceMillis(STEP_MILLIS);
        greet();
        assertEquals(open.size(), CONNECTED + 1);
    }

    // -- names

    @Test
    public void shouldKeepEntriesThatWereNamedOnceUntilTheListChanges() {
        for (int i = 0; i < 200; i++) {
            agent.advanceMillis(STEP_MILLIS);
            open.values().forEach(agent::heartbeat);
        }
        InetSocketAddress lost = preferred().iterator().next();
        dead.add(lost);
        agent.links.ended(open.remove(lost), "closed", agent.nowNanos);
        agent.advanceMillis(STEP_MILLIS);
        greet();
        assertEquals(open.size(), CONNECTED);
    }

    @Test
    public void shouldForgetEntryThatNoConnectedEntryNames() {
        InetSocketAddress gone = preferred().iterator().next();
        dead.add(gone);
        agent.links.ended(open.remove(gone), "closed", agent.nowNanos);
        String[] others = addresses().stream()
                .filter(address -> !address.equals(gone) && !address.equals(AgentFixture.ADDRESS))
                .map(EntryLinksTest::name)
                .toArray(String[]::new);
        for (int i = 0; i < 200; i++) {
            agent.advanceMillis(STEP_MILLIS);
            greet();
            open.values().forEach(stream -> agent.heartbeat(stream, others));
        }
        int dialed = agent.dialed.size();
        run(3_000, others);
        assertEquals(agent.dialed.size(), dialed);
    }

    // -- parting

    @Test
    public void shouldPartOnlyWhenTheEntryKnowsAndNothingOfItRuns() {
        FakeStream replacement = replacementWithTask();
        dead.clear();
        run(3_000);
        assertTrue(open.keySet().containsAll(preferred()));
        assertFalse(replacement.aborted());
        assertTrue(lastHeartbeat(replacement).getHeartbeat().getLeaving());

        agent.replies.get(0).complete(AgentFixture.DONE);
        run(1_000);
        assertFalse(replacement.aborted());
        agent.acknowledge(replacement, 1);
        run(1_000);
        assertTrue(replacement.aborted());
    }

    @Test
    public void shouldStayConnectedToSurplusEntryThatDoesNotEcho() {
        FakeStream replacement = replacementWithTask();
        agent.replies.get(0).complete(AgentFixture.DONE);
        agent.acknowledge(replacement, 1);
        dead.clear();
        open.remove(replacement.address());
        run(1_500);
        assertFalse(replacement.aborted());
    }

    @Test
    public void shouldTellOnlyTheEntryThatItPartsFrom() {
        FakeStream replacement = replacementWithTask();
        dead.clear();
        run(3_000);
        agent.control.withdraw("lab-1", agent.nowNanos);
        assertOnlyOneIsLeft(replacement);
        agent.links.heartbeat(agent.nowNanos);
        assertOnlyOneIsLeft(replacement);
    }

    private void assertOnlyOneIsLeft(FakeStream parting) {
        open.values()
                .forEach(stream -> assertEquals(
                        lastHeartbeat(stream).getHeartbeat().getLeaving(), stream == parting, "" + stream.address()));
    }

    // -- steps

    /** Cuts a preferred entry off and lets a task run for the one that replaces it. */
    private FakeStream replacementWithTask() {
        InetSocketAddress lost = preferred().iterator().next();
        Set<InetSocketAddress> before = Set.copyOf(open.keySet());
        dead.add(lost);
        agent.links.ended(open.remove(lost), "closed", agent.nowNanos);
        run(500);
        FakeStream replacement = open.values().stream()
                .filter(stream -> !before.contains(stream.address()))
                .findFirst()
                .orElseThrow();
        before.stream().filter(open::containsKey).forEach(address -> agent.giveBack(open.get(address), 1));
        agent.dispatch(replacement, 1);
        assertEquals(agent.startedNumbers, List.of(1L));
        return replacement;
    }

    /** Lets time pass; living entries greet on each new connection and send heartbeats that name all. */
    private void run(long millis) {
        run(millis, names());
    }

    private void run(long millis, String... names) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            agent.advanceMillis(STEP_MILLIS);
            agent.announce();
            greet();
            open.values().removeIf(FakeStream::aborted);
            open.values().forEach(stream -> agent.heartbeat(stream, names));
        }
    }

    private void greet() {
        for (; seen < agent.dialed.size(); seen++) {
            FakeStream stream = agent.dialed.get(seen);
            if (dead.contains(stream.address())) {
                agent.links.ended(stream, "refused", agent.nowNanos);
            } else {
                open.put(stream.address(), stream);
                agent.hello(stream, Incarnation.of(stream.address().getPort()));
            }
        }
    }

    private static AgentFrame lastHeartbeat(FakeStream stream) {
        List<AgentFrame> beats =
                stream.frames().filter(AgentFrame::hasHeartbeat).toList();
        return beats.get(beats.size() - 1);
    }

    private static Set<InetSocketAddress> preferred() {
        EntryChoice choice = new EntryChoice("worker-1", CONNECTED);
        return choice.choose(
                addresses().stream().map(a -> new KnownEntry(a, "")).toList());
    }

    private static String[] names() {
        return addresses().stream().map(EntryLinksTest::name).toArray(String[]::new);
    }

    private static String name(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static List<InetSocketAddress> addresses() {
        return IntStream.range(0, ENTRIES)
                .mapToObj(i -> new InetSocketAddress("127.0.0.1", 9_090 + i))
                .collect(Collectors.toList());
    }
}
