package org.teaselhook.core.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.rules.Rules;

/**
 * A simulation of entries and their table service in virtual time, with polls, heartbeats, lost pushes, partitions,
 * suspended processes and restarts. At each step every entry that may start work is assumed to dispatch a task that
 * starts at the last permitted instant.
 */
final class FreshnessSimulation {

    static final long MILLI = 1_000_000L;

    private static final long STEP_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long SCAN_MILLIS = 2_000;
    private static final long ANSWER_WAIT_MILLIS = 1_000;
    private static final long READ_TIMEOUT_MILLIS = 1_000;

    final List<Node> nodes = new ArrayList<>();
    final Set<String> blockedLinks = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    boolean tableUnavailable;
    long freshSteps;
    long steps;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final TreeMap<Long, Long> acceptedVersions = new TreeMap<>();
    private long nowMillis;
    private long sequence;
    private long committedVersion = 1;

    private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMillis, other.atMillis);
            return order == 0 ? Long.compare(sequence, other.sequence) : order;
        }
    }

    FreshnessSimulation(long seed, int entries) {
        random = new Random(seed);
        acceptedVersions.put(0L, 1L);
        for (int i = 0; i < entries; i++) {
            nodes.add(new Node("entry-" + i));
        }
        nodes.forEach(Node::start);
    }

    // -- time

    long now() {
        return nowMillis;
    }

    void at(long millis, Runnable action) {
        events.add(new Event(millis, sequence++, action));
    }

    void runUntil(long millis) {
        while (!events.isEmpty() && events.peek().atMillis() <= millis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = millis;
    }

    private long uniform(long min, long max) {
        return min + random.nextLong(max - min);
    }

    /** Returns a network delay, which is mostly short and sometimes long. */
    private long delay() {
        return random.nextInt(10) == 0 ? uniform(1, 900) : uniform(1, 5);
    }

    // -- links

    boolean reaches(String one, String other) {
        return !blockedLinks.contains(one + "/" + other) && !blockedLinks.contains(other + "/" + one);
    }

    private boolean reachesTable(Node node) {
        return !tableUnavailable && reaches(node.name, "table");
    }

    // -- entries

    final class Node {
        final String name;
        long suspendedUntil;
        private Incarnation incarnation;
        private Incarnation listedIncarnation;
        private final List<Long> unanswered = new ArrayList<>();
        private ConfigState state;
        private Freshness freshness;

        Node(String name) {
            this.name = name;
        }

        void start() {
            incarnation = Incarnation.of(random.nextLong() | 1);
            listedIncarnation = listedIncarnation == null ? incarnation : listedIncarnation;
            unanswered.clear();
            state = ConfigState.empty();
            freshness = Freshness.startedAt(name, nowMillis * MILLI);
            Incarnation currentIncarnation = incarnation;
            every(currentIncarnation, STEP_MILLIS, this::simulateStart);
            every(currentIncarnation, HEARTBEAT_MILLIS, this::heartbeat);
            every(currentIncarnation, SCAN_MILLIS, this::scan);
            every(currentIncarnation, 1_000, this::poll);
        }

        boolean isFresh() {
            return freshness.mayStart(nowMillis * MILLI);
        }

        long version() {
            return state.version().value();
        }

        private void every(Incarnation expectedIncarnation, long millis, Runnable action) {
            schedule(expectedIncarnation, uniform(millis * 8 / 10, millis * 12 / 10), () -> {
                action.run();
                every(expectedIncarnation, millis, action);
            });
        }

        /** Runs an action later unless the node has restarted; a suspended node runs it when it resumes. */
        private void schedule(Incarnation expectedIncarnation, long delayMillis, Runnable action) {
            at(nowMillis + delayMillis, () -> {
                if (!expectedIncarnation.equals(incarnation)) {
                    return;
                }
                if (suspendedUntil > nowMillis) {
                    schedule(expectedIncarnation, suspendedUntil - nowMillis, action);
                } else {
                    action.run();
                }
            });
        }

        // -- simulated starts

        private void simulateStart() {
            steps++;
            if (!isFresh()) {
                return;
            }
            freshSteps++;
            long startMillis = freshness.freshUntilNanos() / MILLI;
            long required = Collections.max(
                    acceptedVersions.headMap(Math.max(1, startMillis - 3_000)).values());
            if (version() < required) {
                violations.add(name + " dispatched under version " + version() + " a start at " + startMillis
                        + " although " + required + " was accepted 3 s earlier; "
                        + acceptedVersions.tailMap(startMillis - 6_000));
            }
        }

        // -- the table service

        private void poll() {
            Incarnation currentIncarnation = incarnation;
            long sentNanos = nowMillis * MILLI;
            callTable(
                    () -> {
                        long readVersion = committedVersion;
                        return () -> {
                            offer(readVersion);
                            freshness.tableRead(state, ConfigVersion.of(readVersion), sentNanos);
                        };
                    },
                    currentIncarnation);
        }

        private void scan() {
            long sentNanos = nowMillis * MILLI;
            callTable(
                    () -> {
                        listedIncarnation = incarnation;
                        List<KnownEntry> rows = nodes.stream()
                                .map(node -> new KnownEntry(node.name, node.listedIncarnation))
                                .toList();
                        return () -> freshness.entriesListed(rows, sentNanos);
                    },
                    incarnation);
        }

        private void callTable(Supplier<Runnable> read, Incarnation expectedIncarnation) {
            at(nowMillis + delay(), () -> {
                if (!reachesTable(this)) {
                    schedule(expectedIncarnation, READ_TIMEOUT_MILLIS, freshness::tableFailed);
                    return;
                }
                schedule(expectedIncarnation, delay(), read.get());
            });
        }

        /** Commits a change and answers the operator once a peer has confirmed it or the wait has timed out. */
        void change() {
            if (suspendedUntil > nowMillis || !reachesTable(this) || !isFresh()) {
                return;
            }
            long version = ++committedVersion;
            schedule(incarnation, delay(), () -> {
                offer(version);
                unanswered.add(version);
                nodes.forEach(node -> pushTo(node, version));
                schedule(incarnation, ANSWER_WAIT_MILLIS, () -> answerOperators(version));
            });
        }

        private void answerOperators(long confirmed) {
            for (long version : List.copyOf(unanswered)) {
                if (version <= confirmed) {
                    unanswered.remove(version);
                    acceptedVersions.merge(nowMillis, version, Math::max);
                }
            }
        }

        private void pushTo(Node other, long version) {
            if (random.nextInt(4) == 0 && reaches(name, other.name)) {
                other.schedule(other.incarnation, delay(), () -> other.offer(version));
            }
        }

        private void offer(long version) {
            ConfigVersion number = ConfigVersion.of(version);
            state.offer(new VersionedRules(number, "# " + version, "op-" + version, Rules.empty()));
        }

        // -- peers

        private void heartbeat() {
            Incarnation currentIncarnation = incarnation;
            long sentNanos = nowMillis * MILLI;
            long ownVersion = version();
            boolean lacksEntries = freshness.lacksEntries();
            for (Node peer : nodes) {
                if (peer != this && reaches(name, peer.name)) {
                    peer.schedule(
                            peer.incarnation,
                            delay(),
                            () -> peer.answer(this, currentIncarnation, sentNanos, ownVersion, lacksEntries));
                }
            }
        }

        private void answer(
                Node asker, Incarnation askerIncarnation, long sentNanos, long askerVersion, boolean lacksEntries) {
            if (!reaches(name, asker.name)) {
                return;
            }
            long nowNanos = nowMillis * MILLI;
            PeerReport report = new PeerReport(
                    new KnownEntry(name, incarnation), state.version(), false, freshness.confirmedAgeNanos(nowNanos));
            List<KnownEntry> known = lacksEntries ? freshness.listedEntries(incarnation) : List.of();
            long version = version();
            long reportDelay = delay();
            asker.schedule(askerIncarnation, reportDelay, () -> asker.reported(report, known, sentNanos));
            if (askerVersion < version) {
                asker.schedule(askerIncarnation, reportDelay + delay(), () -> asker.offer(version));
            }
        }

        private void reported(PeerReport report, List<KnownEntry> known, long sentNanos) {
            answerOperators(report.version().value());
            freshness.entriesLearnedFromPeer(known, nowMillis * MILLI);
            freshness.peerReported(state, report, sentNanos, nowMillis * MILLI);
        }
    }
}
