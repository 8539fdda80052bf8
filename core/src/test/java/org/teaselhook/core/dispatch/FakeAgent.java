package org.teaselhook.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;

/** An agent of the randomised run: its slots, what it has seen, and the results that it keeps. */
final class FakeAgent {

    /** A result kept until it is acknowledged. */
    record Kept(TaskStatus status, Answer answer, long runNanos) {}

    final AgentInfo info;
    final Map<Long, DispatchOrder> running = new HashMap<>();
    final Map<Long, Kept> kept = new HashMap<>();
    final Set<Long> refused = new HashSet<>();
    final Set<Long> seen = new HashSet<>();
    int granted;
    int connection;
    boolean cut;
    boolean dead;
    boolean leaving;
    boolean failsEverything;
    double slowness = 1;

    FakeAgent(long incarnation, String name, String zone, int slots) {
        info = new AgentInfo(Incarnation.of(incarnation), name, zone, "rack", slots);
    }

    Incarnation id() {
        return info.incarnation();
    }

    AgentState state(long version) {
        return new AgentState(Set.of("patchdesk"), leaving, version, free());
    }

    int free() {
        return info.slots() - running.size() - granted;
    }

    boolean knows(long number) {
        return seen.contains(number);
    }
}
