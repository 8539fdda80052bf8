package org.teaselhook.core.dispatch;

import java.util.random.RandomGenerator;

import org.teaselhook.core.rules.CustomerRule;
import org.teaselhook.core.rules.Rules;

/**
 * The state shared by the components of one dispatcher: settings, output, timers, counters and the configuration in
 * force.
 */
final class DispatchContext {

    private final DispatcherSettings settings;
    private final DispatchOutput output;
    private final RandomGenerator random;
    private final Timers timers = new Timers();
    private final Counters counters = new Counters();
    private Rules rules = Rules.empty();
    private long version;
    private boolean serving;
    private boolean stopping;

    DispatchContext(DispatcherSettings settings, DispatchOutput output, RandomGenerator random) {
        this.settings = settings;
        this.output = output;
        this.random = random;
    }

    // -- accessors

    DispatcherSettings settings() {
        return settings;
    }

    DispatchOutput output() {
        return output;
    }

    RandomGenerator random() {
        return random;
    }

    Timers timers() {
        return timers;
    }

    Counters counters() {
        return counters;
    }

    Rules rules() {
        return rules;
    }

    long version() {
        return version;
    }

    boolean isServing() {
        return serving;
    }

    boolean isStopping() {
        return stopping;
    }

    int weightOf(String customer) {
        return rules.customer(customer).map(CustomerRule::weight).orElse(1);
    }

    int maxTasksOf(String customer) {
        return rules.customer(customer).map(CustomerRule::maxTasks).orElse(settings.defaultMaxTasks());
    }

    // -- updates

    boolean applyRules(Rules newRules, long newVersion) {
        if (newVersion <= version) {
            return false;
        }
        rules = newRules;
        version = newVersion;
        return true;
    }

    void setServing(boolean newServing) {
        serving = newServing;
    }

    void stopAdmission() {
        stopping = true;
    }

    // -- decisions

    void recordTaskDecision(DecisionKind kind, String reason, Attempt attempt) {
        ActiveTask task = attempt.task();
        AgentInfo info = attempt.member().worker().info();
        output.recordDecision(new Decision(
                kind,
                reason,
                task.submission().submission().id(),
                task.index(),
                attempt.number(),
                info.name(),
                info.zone(),
                attempt.member().pool().queue().size(),
                attempt.sentAt() - task.submission().submission().startedAt()));
    }

    void recordSubmissionDecision(long nowNanos, DecisionKind kind, String reason, Submission submission, int queued) {
        long waitNanos = nowNanos - submission.startedAt();
        output.recordDecision(new Decision(kind, reason, submission.id(), -1, 0, "", "", queued, waitNanos));
    }

    void recordWorkerDecision(DecisionKind kind, PoolMember member) {
        AgentInfo info = member.worker().info();
        String service = member.pool().service();
        output.recordDecision(new Decision(
                kind,
                service,
                "",
                -1,
                0,
                info.name(),
                info.zone(),
                member.pool().queue().size(),
                0));
    }
}
