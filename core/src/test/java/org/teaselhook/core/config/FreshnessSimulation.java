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
 * Entries with their table service in virtual time: polls, heartbeats, lost pushes, cuts, freezes and restarts. At each
 * step every entry that may start work is taken to order a task that starts at the last instant allowed.
 */
final class FreshnessSimulation {

    static final long MILLI = 1_000_000L;

    private static final long STEP_MILLIS = 100;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long SCAN_MILLIS = 2_000;
    private static final long ANSWER_WAIT_MILLIS = 1_000;
    private static final long READ_TIMEOUT_MILLIS = 1_000;

    final List<Node> nodes = new ArrayList<>();
    final Set<String> cuts = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    boolean tableOut;
    long freshSteps;
    long steps;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final TreeMap<Long, Long> accepted = new TreeMap<>();
    private long nowMillis;
    private long sequence;
    private long committed = 1;

    private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Long.compare(atMillis, other.atMillis);
            return order == 0 ? Long.compare(sequence, other.sequence) : order;
        }
    }

    FreshnessSimulation(long seed, int entries) {
        random = new Random(seed);
        accepted.put(0L, 1L);
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

    private long between(long least, long greatest) {
        return least + random.nextLong(greatest - least);
    }

    /** Mostly short, sometimes as long as a slow network makes it. */
    private long delay() {
        return random.nextInt(10) == 0 ? between(1, 900) : between(1, 5);
    }

    // -- links

    boolean reaches(String one, String other) {
        return !cuts.contains(one + "/" + other) && !cuts.contains(other + "/" + one);
    }

    private boolean reachesTable(Node node) {
        return !tableOut && reaches(node.name, "table");
    }

    // -- an entry

    final class Node {
        final String name;
        long frozenUntil;
        private Incarnation run;
        private Incarnation row;
        private final List<Long> unanswered = new ArrayList<>();
        private ConfigState state;
        private Freshness freshness;

        Node(String name) {
            this.name = name;
        }

        void start() {
            run = Incarnation.of(random.nextLong() | 1);
            row = row == null ? run : row;
            unanswered.clear();
            state = ConfigState.empty();
            freshness = Freshness.startedAt(name, nowMillis * MILLI);
            Incarnation mine = run;
            every(mine, STEP_MILLIS, this::step);
            every(mine, HEARTBEAT_MILLIS, this::heartbeat);
            every(mine, SCAN_MILLIS, this::scan);
            every(mine, 1_000, this::poll);
        }

        boolean isFresh() {
            return freshness.mayStart(nowMillis * MILLI);
        }

        long version() {
            return state.version().value();
        }

        private void every(Incarnation mine, long millis, Runnable action) {
            onNode(mine, between(millis * 8 / 10, millis * 12 / 10), () -> {
                action.run();
                every(mine, millis, action);
            });
        }

        /** Runs later on this run of the node; a frozen node does it when it resumes. */
        private void onNode(Incarnation mine, long delayMillis, Runnable action) {
            at(nowMillis + delayMillis, () -> {
                if (!mine.equals(run)) {
                    return;
                }
                if (frozenUntil > nowMillis) {
                    onNode(mine, frozenUntil - nowMillis, action);
                } else {
                    action.run();
                }
            });
        }

        // -- work

        private void step() {
            steps++;
            if (!isFresh()) {
                return;
            }
            freshSteps++;
            long startMillis = freshness.freshUntilNanos() / MILLI;
            long required = Collections.max(
                    accepted.headMap(Math.max(1, startMillis - 3_000)).values());
            if (version() < required) {
                violations.add(name + " ordered by version " + version() + " a start at " + startMillis + " while "
                        + required + " was accepted 3 s before; " + accepted.tailMap(startMillis - 6_000));
            }
        }

        // -- the table service

        private void poll() {
            Incarnation mine = run;
            long sentNanos = nowMillis * MILLI;
            askTable(
                    () -> {
                        long served = committed;
                        return () -> {
                            offer(served);
                            freshness.tableRead(state, ConfigVersion.of(served), sentNanos);
                        };
                    },
                    mine);
        }

        private void scan() {
            long sentNanos = nowMillis * MILLI;
            askTable(
                    () -> {
                        row = run;
                        List<KnownEntry> rows = nodes.stream()
                                .map(node -> new KnownEntry(node.name, node.row))
                                .toList();
                        return () -> freshness.entriesListed(rows, sentNanos);
                    },
                    run);
        }

        private void askTable(Supplier<Runnable> serve, Incarnation mine) {
            at(nowMillis + delay(), () -> {
                if (!reachesTable(this)) {
                    onNode(mine, READ_TIMEOUT_MILLIS, freshness::tableFailed);
                    return;
                }
                onNode(mine, delay(), serve.get());
            });
        }

        /** Commits a change and answers the operator once another entry has confirmed it, or none did in time. */
        void change() {
            if (frozenUntil > nowMillis || !reachesTable(this) || !isFresh()) {
                return;
            }
            long version = ++committed;
            onNode(run, delay(), () -> {
                offer(version);
                unanswered.add(version);
                nodes.forEach(node -> pushTo(node, version));
                onNode(run, ANSWER_WAIT_MILLIS, () -> answerOperators(version));
            });
        }

        private void answerOperators(long confirmed) {
            for (long version : List.copyOf(unanswered)) {
                if (version <= confirmed) {
                    unanswered.remove(version);
                    accepted.merge(nowMillis, version, Math::max);
                }
            }
        }

        private void pushTo(Node other, long version) {
            if (random.nextInt(4) == 0 && reaches(name, other.name)) {
                other.onNode(other.run, delay(), () -> other.offer(version));
            }
        }

        private void offer(long version) {
            ConfigVersion number = ConfigVersion.of(version);
            state.offer(new VersionedRules(number, "# " + version, "op-" + version, Rules.empty()));
        }

        // -- peers

        private void heartbeat() {
            Incarnation mine = run;
            long sentNanos = nowMillis * MILLI;
            long mineHeld = version();
            boolean lacksEntries = freshness.lacksEntries();
            for (Node peer : nodes) {
                if (peer != this && reaches(name, peer.name)) {
                    peer.onNode(peer.run, delay(), () -> peer.answer(this, mine, sentNanos, mineHeld, lacksEntries));
                }
            }
        }

        private void answer(Node asker, Incarnation askerRun, long sentNanos, long heldThere, boolean lacksEntries) {
            if (!reaches(name, asker.name)) {
                return;
            }
            long nowNanos = nowMillis * MILLI;
            PeerWord word = new PeerWord(
                    new KnownEntry(name, run), state.version(), false, freshness.confirmedAgeNanos(nowNanos));
            List<KnownEntry> known = lacksEntries ? freshness.listedEntries(run) : List.of();
            long held = version();
            long wordDelay = delay();
            asker.onNode(askerRun, wordDelay, () -> asker.heard(word, known, sentNanos));
            if (heldThere < held) {
                asker.onNode(askerRun, wordDelay + delay(), () -> asker.offer(held));
            }
        }

        private void heard(PeerWord word, List<KnownEntry> known, long sentNanos) {
            answerOperators(word.version().value());
            freshness.entriesInherited(known, nowMillis * MILLI);
            freshness.peerHeard(state, word, sentNanos, nowMillis * MILLI);
        }
    }
}
