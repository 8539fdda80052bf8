package org.teaselhook.bench.failure;

import java.util.function.BiConsumer;

import org.teaselhook.standin.table.TableFaults;

/** The kinds of faults: what each affects, its relative frequency and duration, and how it begins and ends. */
enum FaultKind {
    /** A process is killed by SIGKILL and restarted. */
    KILL_ENTRY(FaultSubject.ENTRY, 4, 500, 4_000, FaultActions::kill, FaultActions::restart),
    /** A process is killed by SIGKILL and restarted. */
    KILL_AGENT(FaultSubject.AGENT, 5, 500, 4_000, FaultActions::kill, FaultActions::restart),
    /** All processes of an availability zone are killed and restarted. */
    KILL_ZONE(FaultSubject.ZONE, 1, 1_000, 4_000, FaultActions::kill, FaultActions::restart),
    /** A process is frozen for longer than every lease. */
    FREEZE_ENTRY(FaultSubject.ENTRY, 4, 3_500, 7_000, FaultActions::freeze, FaultActions::resume),
    /** A process is frozen for longer than every lease. */
    FREEZE_AGENT(FaultSubject.AGENT, 5, 3_500, 7_000, FaultActions::freeze, FaultActions::resume),
    /** A process is frozen for less than a lease. */
    FREEZE_AGENT_SHORTLY(FaultSubject.AGENT, 3, 200, 1_900, FaultActions::freeze, FaultActions::resume),
    /** A process stops gracefully and is restarted. */
    STOP_ENTRY(FaultSubject.ENTRY, 3, 1_000, 2_000, FaultActions::stop, FaultActions::restartAfterExit),
    /** A process stops gracefully and is restarted. */
    STOP_AGENT(FaultSubject.AGENT, 3, 1_000, 2_000, FaultActions::stop, FaultActions::restartAfterExit),
    /** A target leaves and is replaced. */
    TARGET_LEAVES(FaultSubject.TARGET, 3, 4_000, 6_000, FaultActions::withdrawTarget, FaultActions::replaceTarget),
    /** A target runs tasks many times slower than normal. */
    SLOW_TARGET(FaultSubject.TARGET, 3, 2_000, 5_000, FaultActions::slowTarget, FaultActions::restoreTarget),
    /** A target fails all tasks immediately. */
    FAILING_TARGET(FaultSubject.TARGET, 2, 2_000, 5_000, FaultActions::failTarget, FaultActions::restoreTarget),
    /** Existing connections of an agent to its target stop forwarding data without being closed. */
    SILENT_TARGET(FaultSubject.TARGET, 2, 500, 1_000, FaultActions::blackholeTarget, FaultActions::noAction),
    /** Existing connections of callers to an entry stop forwarding data without being closed. */
    SILENT_CALLERS(FaultSubject.ENTRY, 2, 200, 500, FaultActions::blackholeCallers, FaultActions::noAction),
    /** Existing connections of an agent to an entry stop forwarding data; new connections work. */
    SILENT_AGENT_LINK(FaultSubject.AGENT_LINK, 6, 500, 3_000, FaultActions::blackholeLink, FaultActions::noAction),
    /** An agent and an entry cannot reach each other. */
    CUT_AGENT_LINK(FaultSubject.AGENT_LINK, 4, 3_000, 7_000, FaultActions::cutLink, FaultActions::healLink),
    /** Existing connections of an entry to another stop forwarding data; new connections work. */
    SILENT_PEER_LINK(FaultSubject.PEER_LINK, 3, 500, 3_000, FaultActions::blackholeLink, FaultActions::noAction),
    /** An entry cannot reach another. */
    CUT_PEER_LINK(FaultSubject.PEER_LINK, 3, 3_000, 7_000, FaultActions::cutLink, FaultActions::healLink),
    /** An entry cannot reach the table service. */
    CUT_TABLE_LINK(FaultSubject.ENTRY, 3, 3_000, 7_000, FaultActions::cutTable, FaultActions::healTable),
    /** An entry cannot reach the table service or other entries, while agents and callers still reach it. */
    ISOLATE_ENTRY(FaultSubject.ENTRY, 3, 4_000, 8_000, FaultActions::isolate, FaultActions::rejoin),
    /** The table service refuses every call. */
    TABLE_OUTAGE(
            FaultSubject.TABLE,
            3,
            2_000,
            8_000,
            table(TableFaults.none().withOutage(TableFaults.Outage.REFUSING)),
            table(TableFaults.none())),
    /** The table service answers no call. */
    TABLE_SILENT(
            FaultSubject.TABLE,
            3,
            2_000,
            8_000,
            table(TableFaults.none().withOutage(TableFaults.Outage.SILENT)),
            table(TableFaults.none())),
    /** The table service is slow. */
    TABLE_SLOW(
            FaultSubject.TABLE,
            2,
            2_000,
            5_000,
            table(TableFaults.none().withLatency(300, 600)),
            table(TableFaults.none())),
    /** The answers to some writes that took effect are lost. */
    TABLE_ANSWERS_LOST(
            FaultSubject.TABLE,
            4,
            2_000,
            6_000,
            table(TableFaults.none().withLostAnswers(0.3)),
            table(TableFaults.none())),
    /** Some writes take effect long after their callers timed out. */
    TABLE_WRITES_LATE(
            FaultSubject.TABLE,
            4,
            2_000,
            6_000,
            table(TableFaults.none().withLateWrites(0.3, 3_000)),
            table(TableFaults.none()));

    private static final long SILENT_CALLERS_LINGERING_MILLIS = 12_000;

    private final FaultSubject subject;
    private final int weight;
    private final int minMillis;
    private final int maxMillis;
    private final BiConsumer<FaultActions, PlannedFault> begin;
    private final BiConsumer<FaultActions, PlannedFault> end;

    FaultKind(
            FaultSubject subject,
            int weight,
            int minMillis,
            int maxMillis,
            BiConsumer<FaultActions, PlannedFault> begin,
            BiConsumer<FaultActions, PlannedFault> end) {
        this.subject = subject;
        this.weight = weight;
        this.minMillis = minMillis;
        this.maxMillis = maxMillis;
        this.begin = begin;
        this.end = end;
    }

    FaultSubject subject() {
        return subject;
    }

    int weight() {
        return weight;
    }

    /**
     * Returns how long the fault has effects after its end: callers wait on a connection that stopped forwarding data
     * until they time out.
     */
    long lingeringMillis() {
        return this == SILENT_CALLERS ? SILENT_CALLERS_LINGERING_MILLIS : 0;
    }

    int minMillis() {
        return minMillis;
    }

    int maxMillis() {
        return maxMillis;
    }

    void begin(FaultActions actions, PlannedFault fault) {
        begin.accept(actions, fault);
    }

    void end(FaultActions actions, PlannedFault fault) {
        end.accept(actions, fault);
    }

    private static BiConsumer<FaultActions, PlannedFault> table(TableFaults faults) {
        return (actions, fault) -> actions.table(faults);
    }
}
