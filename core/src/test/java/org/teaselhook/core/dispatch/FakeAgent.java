package org.teaselhook.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;

/** A simulated agent: its slots, the dispatch numbers it has seen, and the results not yet acknowledged. */
final class FakeAgent {

    /** A result retained until it is acknowledged. */
    record RetainedResult(TaskStatus status, Answer answer, long runNanos) {}

    final AgentInfo info;
    final Map<Long, DispatchOrder> running = new HashMap<>();
    final Map<Long, RetainedResult> retained = new HashMap<>();
    final Set<Long> refused = new HashSet<>();
    final Set<Long> seen = new HashSet<>();
    int granted;
    int connection;
    boolean disconnected;
    boolean crashed;
    boolean leaving;
    boolean failsAlways;
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

    boolean hasSeen(long number) {
        return seen.contains(number);
    }
}
