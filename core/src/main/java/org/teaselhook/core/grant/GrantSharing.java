package org.teaselhook.core.grant;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.teaselhook.core.id.Incarnation;

/**
 * Shares an agent's slots among the connected entries. A slot is free, granted to one entry, or in use by a task; never
 * two of these at once. Used by one thread.
 *
 * <p>A free slot goes to the entry that wants more and holds least, the one granted longest ago among equals; when none
 * wants more, free slots are spread evenly, so that a new arrival starts at once at any entry.
 *
 * <pre>{@code
 * sharing.want(entry, 3);
 * sharing.share(nowNanos).forEach(change -> send(change));
 * }</pre>
 */
public final class GrantSharing {

    /** A request to give slots back that was not answered by then may be repeated. */
    public static final long RECLAIM_TIMEOUT_NANOS = 1_000_000_000L;

    /** An entry that leaves a grant unused for longer has no demand left, whatever it said before. */
    public static final long UNUSED_NANOS = 10_000_000L;

    private static final Comparator<EntryShare> LEAST_HELD =
            Comparator.comparingInt(EntryShare::held).thenComparingLong(EntryShare::lastGrant);
    private static final Comparator<EntryShare> LEAST_SPARE =
            Comparator.comparingInt(EntryShare::spare).thenComparingLong(EntryShare::lastGrant);

    private final int slots;
    private final Map<Incarnation, EntryShare> shares = new LinkedHashMap<>();
    private boolean open;
    private long grants;

    private GrantSharing(int slots) {
        this.slots = slots;
    }

    // -- factories

    /**
     * Returns the sharing of a number of slots, closed, with all slots free.
     *
     * @param slots the number of slots, at least 1
     * @return the sharing
     * @throws IllegalArgumentException if {@code slots} is below 1
     */
    public static GrantSharing of(int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
        return new GrantSharing(slots);
    }

    // -- updates

    /**
     * Says whether new grants may be made. While closed, grants made before stay with their entries.
     *
     * @param open true if tasks can be started
     */
    public void open(boolean open) {
        this.open = open;
    }

    /**
     * Records a new connection of an entry. What was granted on an earlier connection lapses.
     *
     * @param entry the run of the entry
     */
    public void connect(Incarnation entry) {
        shareOf(entry).connect();
    }

    /**
     * Records that the entry's connection is gone. What was granted on it lapses; running tasks keep their slots.
     *
     * @param entry the run of the entry
     */
    public void disconnect(Incarnation entry) {
        shareOf(entry).disconnect();
        removeIfUnused(entry);
    }

    /**
     * Records how many slots an entry could use beyond those it holds.
     *
     * @param entry the run of the entry
     * @param wanted the number of slots
     */
    public void want(Incarnation entry, int wanted) {
        shareOf(entry).want(wanted);
    }

    /**
     * Records that a task started.
     *
     * @param entry the run of the entry that dispatched it
     * @param granted whether it uses up a granted slot
     * @throws IllegalStateException if more slots would be in use or granted than there are
     */
    public void start(Incarnation entry, boolean granted) {
        shareOf(entry).start(granted);
        checkInvariant();
    }

    /**
     * Records that a dispatch that used up a granted slot was refused.
     *
     * @param entry the run of the entry
     */
    public void refuse(Incarnation entry) {
        EntryShare share = shareOf(entry);
        if (share.idle() > 0) {
            share.useIdle();
        }
    }

    /**
     * Records that a task ended.
     *
     * @param entry the run of the entry that dispatched it
     * @throws IllegalStateException if no task of the entry was running
     */
    public void finish(Incarnation entry) {
        shareOf(entry).finish();
        checkInvariant();
        removeIfUnused(entry);
    }

    /**
     * Records that an entry gave unused slots back. One that does so without being asked is granted none until it wants
     * some.
     *
     * @param entry the run of the entry
     * @param returned the number of slots, perhaps 0
     */
    public void giveBack(Incarnation entry, int returned) {
        shareOf(entry).giveBack(returned);
    }

    /**
     * Records that a dispatch without a grant waits here until a slot comes back. The next slot granted to the entry is
     * meant for it.
     *
     * @param entry the run of the entry
     */
    public void hold(Incarnation entry) {
        shareOf(entry).hold();
    }

    /**
     * Records that a held dispatch waits no longer.
     *
     * @param entry the run of the entry
     */
    public void release(Incarnation entry) {
        shareOf(entry).release();
    }

    /**
     * Records that an entry needs no idle slots, because it is stopping.
     *
     * @param entry the run of the entry
     */
    public void decline(Incarnation entry) {
        shareOf(entry).decline();
    }

    // -- decisions

    /**
     * Asks for idle grants back where entries hold unequal numbers of them and none wants more, so that an entry that
     * connected later gets its part. {@link #share} returns the change. To be called now and then.
     *
     * @param nowNanos the present time on the monotonic clock
     */
    public void rebalance(long nowNanos) {
        Optional<EntryShare> poorest = takingIdle().min(LEAST_SPARE);
        Optional<EntryShare> richest = connected().max(LEAST_SPARE);
        if (!open || poorest.isEmpty() || wanting().findAny().isPresent() || reclaiming() > 0) {
            return;
        }
        int moved = (richest.get().spare() - poorest.get().spare()) / 2;
        for (int i = 0; i < moved; i++) {
            richest.get().reclaim(nowNanos);
        }
    }

    /**
     * Grants the free slots and asks for idle ones back where another entry wants more.
     *
     * @param nowNanos the present time on the monotonic clock
     * @return one change for each entry that has to be told
     */
    public List<GrantChange> share(long nowNanos) {
        shares.values().forEach(share -> share.expireReclaim(nowNanos, RECLAIM_TIMEOUT_NANOS));
        shares.values().forEach(share -> share.followDemand(nowNanos, UNUSED_NANOS));
        if (open) {
            grantFree(nowNanos);
            reclaimIdle(nowNanos);
        }
        checkInvariant();
        return shares.values().stream()
                .filter(EntryShare::hasChange)
                .map(EntryShare::takeChange)
                .toList();
    }

    // -- accessors

    /**
     * Counts the slots that are neither granted nor in use.
     *
     * @return the number of free slots
     */
    public int free() {
        return slots - running() - granted();
    }

    /**
     * Counts the slots that a dispatch of an entry may take.
     *
     * @param entry the run of the entry
     * @param granted whether the dispatch uses up a granted slot
     * @return the number of slots
     */
    public int available(Incarnation entry, boolean granted) {
        int idle = granted ? granted(entry) : 0;
        return idle > 0 ? idle : free();
    }

    /**
     * Tells whether a slot for one more dispatch without a grant may be had by asking for an idle grant back: one that
     * another entry holds and has no use for.
     *
     * @param entry the run of the entry that sent the dispatch
     * @return true if the dispatch is worth holding
     */
    public boolean canHold(Incarnation entry) {
        int waiting = shares.values().stream().mapToInt(EntryShare::waiting).sum();
        int unneeded = shares.values().stream()
                .filter(share -> share.needsNone() && !share.entry().equals(entry))
                .mapToInt(EntryShare::idle)
                .sum();
        return open && unneeded > waiting;
    }

    /**
     * Tells whether entries were asked to give slots back and have not answered.
     *
     * @return true while an answer is awaited
     */
    public boolean isReclaiming() {
        return reclaiming() > 0;
    }

    /**
     * Counts the slots that a dispatch without a grant could be given: while an entry wants more than it holds, those
     * granted to none; else those in which no task runs.
     *
     * @return the number of slots
     */
    public int openSlots() {
        if (!open) {
            return 0;
        }
        return wanting().findAny().isPresent() ? free() : slots - running();
    }

    /**
     * Counts the slots in which tasks run.
     *
     * @return the number of slots in use
     */
    public int running() {
        return shares.values().stream().mapToInt(EntryShare::running).sum();
    }

    /**
     * Counts the slots granted and not yet used.
     *
     * @return the number of granted slots
     */
    public int granted() {
        return shares.values().stream().mapToInt(EntryShare::idle).sum();
    }

    /**
     * Counts the slots granted to one entry and not yet used.
     *
     * @param entry the run of the entry
     * @return the number of granted slots
     */
    public int granted(Incarnation entry) {
        EntryShare share = shares.get(entry);
        return share == null ? 0 : share.idle();
    }

    private void grantFree(long nowNanos) {
        for (int free = free(); free > 0; free--) {
            Optional<EntryShare> next = wanting().min(LEAST_HELD).or(() -> shares.values().stream()
                    .filter(EntryShare::takesIdle)
                    .min(LEAST_SPARE));
            if (next.isEmpty()) {
                return;
            }
            grants++;
            next.get().grant(grants, nowNanos);
        }
    }

    private void reclaimIdle(long nowNanos) {
        int missing = wanting().mapToInt(EntryShare::needed).sum() - reclaiming();
        for (; missing > 0; missing--) {
            Optional<EntryShare> poorest = wanting().min(LEAST_HELD);
            Optional<EntryShare> richest =
                    connected().filter(s -> s.spare() > 0).max(Comparator.comparingInt(EntryShare::held));
            Optional<EntryShare> unneeded =
                    connected().filter(s -> s.spare() > 0 && s.needsNone()).max(LEAST_SPARE);
            if (unneeded.isPresent()) {
                unneeded.get().reclaim(nowNanos);
            } else if (poorest.isPresent()
                    && richest.isPresent()
                    && richest.get().held() > poorest.get().held() + reclaiming() + 1) {
                richest.get().reclaim(nowNanos);
            } else {
                return;
            }
        }
    }

    private int reclaiming() {
        return shares.values().stream().mapToInt(s -> s.idle() - s.spare()).sum();
    }

    private Stream<EntryShare> connected() {
        return shares.values().stream().filter(EntryShare::connected);
    }

    private Stream<EntryShare> takingIdle() {
        return shares.values().stream().filter(EntryShare::takesIdle);
    }

    private Stream<EntryShare> wanting() {
        return shares.values().stream().filter(EntryShare::wantsMore);
    }

    private EntryShare shareOf(Incarnation entry) {
        return shares.computeIfAbsent(entry, EntryShare::new);
    }

    private void removeIfUnused(Incarnation entry) {
        if (shareOf(entry).isUnused()) {
            shares.remove(entry);
        }
    }

    private void checkInvariant() {
        boolean sane = shares.values().stream().allMatch(s -> s.running() >= 0 && s.idle() >= 0 && s.spare() >= 0);
        if (!sane || free() < 0) {
            throw new IllegalStateException(
                    "slots=" + slots + " running=" + running() + " granted=" + granted() + ": slots shared twice");
        }
    }
}
