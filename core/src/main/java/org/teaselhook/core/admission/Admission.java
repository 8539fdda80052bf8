package org.teaselhook.core.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.id.Incarnation;

/**
 * Decides at the instant of start whether a dispatched task may start, and remembers every decision: a number that was
 * refused is never started, and a number that was started is never started again. Thread-safe.
 *
 * <pre>{@code
 * Verdict verdict = admission.decide(request, conditions, nowNanos);
 * }</pre>
 */
public final class Admission {

    /** A dispatch that rests on an older heartbeat of the agent than this is refused. */
    public static final long FRESH_NANOS = 2_000_000_000L;

    private static final long NONE = -1;

    private final Incarnation agent;
    private final Map<Incarnation, EntryRecord> entries = new HashMap<>();
    private final Map<Incarnation, Long> retired = new HashMap<>();

    private Admission(Incarnation agent) {
        this.agent = agent;
    }

    // -- factories

    /**
     * Returns the admission of one run of an agent, without any decision made.
     *
     * @param agent the run of the agent
     * @return the admission
     */
    public static Admission of(Incarnation agent) {
        return new Admission(Objects.requireNonNull(agent, "agent is null"));
    }

    // -- decisions

    /**
     * Decides on a dispatch that arrived. After {@link Verdict.Start} the number counts as started until
     * {@link #acknowledge} or {@link #withdraw}.
     *
     * @param request the dispatch
     * @param conditions what the agent knows now
     * @param nowNanos the present time on the agent's monotonic clock
     * @return the decision
     */
    public synchronized Verdict decide(StartRequest request, StartConditions conditions, long nowNanos) {
        long dispatch = request.dispatch();
        if (dispatch <= retiredUpTo(request.entry())
                || !recordOf(request.entry()).remember(dispatch)) {
            return Verdict.Duplicate.INSTANCE;
        }
        RefusalReason reason = reasonOf(request, conditions, nowNanos);
        if (reason != null) {
            return new Verdict.Refuse(reason);
        }
        recordOf(request.entry()).start(dispatch);
        return new Verdict.Start(earlier(request.startByNanos(), request.echoNanos() + FRESH_NANOS));
    }

    /**
     * Settles a dispatch that the entry believes to be in progress. An unknown number is refused from now on.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     * @return what can be said of it
     */
    public synchronized Settlement settle(Incarnation entry, long dispatch) {
        if (dispatch <= retiredUpTo(entry)) {
            return Settlement.FORGOTTEN;
        }
        EntryRecord entryRecord = recordOf(entry);
        if (entryRecord.isStarted(dispatch)) {
            return Settlement.STARTED;
        }
        entryRecord.remember(dispatch);
        return Settlement.NOT_STARTED;
    }

    /**
     * Refuses a dispatch that has not arrived.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     * @return true if the number was never seen; it is refused from now on
     */
    public synchronized boolean cancel(Incarnation entry, long dispatch) {
        return dispatch > retiredUpTo(entry) && recordOf(entry).remember(dispatch);
    }

    // -- updates

    /**
     * Records that the entry has the result of a started task.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     */
    public synchronized void acknowledge(Incarnation entry, long dispatch) {
        EntryRecord entryRecord = entries.get(entry);
        if (entryRecord != null) {
            entryRecord.forget(dispatch);
        }
    }

    /**
     * Turns a start into a refusal, because the task certainly did not reach the target. The number stays seen.
     *
     * @param entry the run of the entry
     * @param dispatch the dispatch number
     */
    public synchronized void withdraw(Incarnation entry, long dispatch) {
        acknowledge(entry, dispatch);
    }

    /**
     * Drops the records of an entry that is believed to be gone. Its numbers up to the highest seen are never started
     * and are answered as forgotten.
     *
     * @param entry the run of the entry
     */
    public synchronized void retire(Incarnation entry) {
        EntryRecord entryRecord = entries.remove(entry);
        if (entryRecord != null) {
            retired.merge(entry, entryRecord.highest(), Math::max);
        }
    }

    // -- accessors

    /**
     * Counts the tasks that were started and whose results are not acknowledged.
     *
     * @return the number of tasks
     */
    public synchronized int startedCount() {
        return entries.values().stream().mapToInt(EntryRecord::startedCount).sum();
    }

    private RefusalReason reasonOf(StartRequest request, StartConditions conditions, long nowNanos) {
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
        if (echoAgeNanos < 0 || echoAgeNanos > FRESH_NANOS) {
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

    private EntryRecord recordOf(Incarnation entry) {
        return entries.computeIfAbsent(entry, e -> new EntryRecord());
    }

    private long retiredUpTo(Incarnation entry) {
        return retired.getOrDefault(entry, NONE);
    }

    private static long earlier(long firstNanos, long secondNanos) {
        return firstNanos - secondNanos < 0 ? firstNanos : secondNanos;
    }
}
