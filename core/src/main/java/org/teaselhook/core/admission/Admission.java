package org.teaselhook.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.id.Incarnation;

/**
 * Decides, immediately before the start, whether a dispatched task may start, and records every decision: a dispatch
 * number that was refused is never started later, and one that was started is never started again. Thread-safe.
 *
 * <pre>{@code
 * AdmissionDecision decision = admission.decide(request, conditions, nowNanos);
 * }</pre>
 */
public final class Admission {

    /** The greatest age of the agent's heartbeat that a dispatch may be based on; older dispatches are refused. */
    public static final long MAX_HEARTBEAT_AGE_NANOS = 2_000_000_000L;

    private static final long NO_DISPATCH = -1;

    private final Incarnation agent;
    private final Map<Incarnation, DispatchHistory> histories = new HashMap<>();
    private final Map<Incarnation, Long> highestRetired = new HashMap<>();

    private Admission(Incarnation agent) {
        this.agent = agent;
    }

    // -- factories

    /**
     * Returns the admission control of one run of an agent, with no decisions recorded.
     *
     * @param agent the run of the agent
     * @return the admission control
     */
    public static Admission of(Incarnation agent) {
        return new Admission(Objects.requireNonNull(agent, "agent is null"));
    }

    // -- decisions

    /**
     * Decides on a dispatch that has arrived. After {@link AdmissionDecision.Start} the number counts as started until
     * {@link #acknowledge} or {@link #withdraw} is called.
     *
     * @param request the dispatch
     * @param conditions the agent's current state
     * @param nowNanos the current time on the agent's monotonic clock
     * @return the decision
     */
    public synchronized AdmissionDecision decide(StartRequest request, StartConditions conditions, long nowNanos) {
        long dispatch = request.dispatch();
        if (dispatch <= retiredUpTo(request.entry())
                || !historyOf(request.entry()).markDecided(dispatch)) {
            return AdmissionDecision.Duplicate.INSTANCE;
        }
        RefusalReason reason = refusalReason(request, conditions, nowNanos);
        if (reason != null) {
            return new AdmissionDecision.Refuse(reason);
        }
        historyOf(request.entry()).markStarted(dispatch);
        return new AdmissionDecision.Start(
                earlier(request.startByNanos(), request.echoNanos() + MAX_HEARTBEAT_AGE_NANOS));
    }

    /**
     * Resolves the status of a dispatch that the entry believes to be in progress. An unknown number is refused from
     * now on.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     * @return the status of the dispatch
     */
    public synchronized DispatchStatus resolve(Incarnation entry, long dispatch) {
        if (dispatch <= retiredUpTo(entry)) {
            return DispatchStatus.FORGOTTEN;
        }
        DispatchHistory history = historyOf(entry);
        if (history.isStarted(dispatch)) {
            return DispatchStatus.STARTED;
        }
        history.markDecided(dispatch);
        return DispatchStatus.NOT_STARTED;
    }

    /**
     * Cancels a dispatch that has not arrived yet.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     * @return true if no decision was made on the number before; it is refused from now on
     */
    public synchronized boolean cancel(Incarnation entry, long dispatch) {
        return dispatch > retiredUpTo(entry) && historyOf(entry).markDecided(dispatch);
    }

    // -- updates

    /**
     * Records that the entry has received the result of a started task.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     */
    public synchronized void acknowledge(Incarnation entry, long dispatch) {
        DispatchHistory history = histories.get(entry);
        if (history != null) {
            history.removeStarted(dispatch);
        }
    }

    /**
     * Turns a start into a refusal because the task certainly did not reach the target. The number remains decided.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     */
    public synchronized void withdraw(Incarnation entry, long dispatch) {
        acknowledge(entry, dispatch);
    }

    /**
     * Discards the history of an entry that is believed to have terminated. Its numbers up to the highest one seen are
     * never started and are reported as {@link DispatchStatus#FORGOTTEN}.
     *
     * @param entry the run of the entry
     */
    public synchronized void retire(Incarnation entry) {
        DispatchHistory history = histories.remove(entry);
        if (history != null) {
            highestRetired.merge(entry, history.highest(), Math::max);
        }
    }

    // -- accessors

    /**
     * Returns the number of tasks that were started and whose results are not acknowledged.
     *
     * @return the number of tasks
     */
    public synchronized int startedCount() {
        return histories.values().stream()
                .mapToInt(DispatchHistory::startedCount)
                .sum();
    }

    private RefusalReason refusalReason(StartRequest request, StartConditions conditions, long nowNanos) {
        long echoAgeNanos = nowNanos - request.echoNanos();
        if (!request.agent().equals(agent)) {
            return RefusalReason.WRONG_INCARNATION;
        }
        if (conditions.leaving()) {
            return RefusalReason.LEAVING;
        }
        if (conditions.configVersion() == 0 || conditions.configVersion() < request.configVersion()) {
            return RefusalReason.CONFIG_UNKNOWN;
        }
        if (conditions.zoneOut()) {
            return RefusalReason.ZONE_OUT;
        }
        if (echoAgeNanos < 0 || echoAgeNanos > MAX_HEARTBEAT_AGE_NANOS) {
            return RefusalReason.STALE_ENTRY;
        }
        if (nowNanos - request.startByNanos() >= 0) {
            return RefusalReason.START_BY_PASSED;
        }
        if (!conditions.targetAvailable()) {
            return RefusalReason.NO_TARGET;
        }
        return conditions.freeSlots() > 0 ? null : RefusalReason.NO_FREE_SLOT;
    }

    private DispatchHistory historyOf(Incarnation entry) {
        return histories.computeIfAbsent(entry, e -> new DispatchHistory());
    }

    private long retiredUpTo(Incarnation entry) {
        return highestRetired.getOrDefault(entry, NO_DISPATCH);
    }

    private static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos < 0 ? firstNanos : secondNanos;
    }
}
