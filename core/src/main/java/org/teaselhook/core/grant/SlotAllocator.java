package org.teaselhook.core.grant;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.teaselhook.core.id.Incarnation;

/**
 * Allocates an agent's slots to the connected entries. At any time, a slot is either free, granted to one entry, or in
 * use by a task. Confined to one thread.
 *
 * <p>A free slot is granted to the entry that holds the fewest slots of those that need more; ties go to the entry
 * whose last grant is the oldest. If no entry needs more, free slots are spread evenly, so that a new task can start
 * immediately at any entry.
 *
 * <pre>{@code
 * allocator.setDemand(entry, 3);
 * allocator.allocate(nowNanos).forEach(change -> send(change));
 * }</pre>
 */
public final class SlotAllocator {

    /** The time-out after which an unanswered request to return slots may be repeated, in ns. */
    public static final long RECLAIM_TIMEOUT_NANOS = 1_000_000_000L;

    /** An entry that leaves a grant unused for longer has no demand any more, whatever it requested before, in ns. */
    public static final long UNUSED_NANOS = 10_000_000L;

    private static final Comparator<EntrySlots> FEWEST_ALLOCATED =
            Comparator.comparingInt(EntrySlots::allocated).thenComparingLong(EntrySlots::lastGrant);
    private static final Comparator<EntrySlots> FEWEST_SPARE =
            Comparator.comparingInt(EntrySlots::spare).thenComparingLong(EntrySlots::lastGrant);

    private final int slots;
    private final Map<Incarnation, EntrySlots> slotsByEntry = new LinkedHashMap<>();
    private boolean open;
    private long grants;

    private SlotAllocator(int slots) {
        this.slots = slots;
    }

    // -- factories

    /**
     * Returns an allocator whose slots are all free, and which does not make grants yet.
     *
     * @param slots the number of slots, at least 1
     * @return a new allocator
     * @throws IllegalArgumentException if {@code slots} is below 1
     */
    public static SlotAllocator of(int slots) {
        if (slots < 1) {
            throw new IllegalArgumentException("slots is below 1");
        }
        return new SlotAllocator(slots);
    }

    // -- updates

    /**
     * Sets whether new grants may be made. Existing grants remain valid in either case.
     *
     * @param open true if tasks can be started
     */
    public void allowGrants(boolean open) {
        this.open = open;
    }

    /**
     * Records a new connection of an entry. Grants made on an earlier connection expire.
     *
     * @param entry the incarnation of the entry
     */
    public void connect(Incarnation entry) {
        slotsOf(entry).connect();
    }

    /**
     * Records that the connection of an entry is closed. Grants made on it expire; running tasks keep their slots.
     *
     * @param entry the incarnation of the entry
     */
    public void disconnect(Incarnation entry) {
        slotsOf(entry).disconnect();
        removeIfPossible(entry);
    }

    /**
     * Sets the demand of an entry: how many slots it could use beyond those it holds.
     *
     * @param entry the incarnation of the entry
     * @param requested the number of slots
     */
    public void setDemand(Incarnation entry, int requested) {
        slotsOf(entry).setDemand(requested);
    }

    /**
     * Records that a task started.
     *
     * @param entry the incarnation of the entry that dispatched it
     * @param granted whether it uses a granted slot
     * @throws IllegalStateException if more slots are in use or granted than exist
     */
    public void start(Incarnation entry, boolean granted) {
        slotsOf(entry).start(granted);
        checkInvariant();
    }

    /**
     * Records that a dispatch that used a granted slot was refused.
     *
     * @param entry the incarnation of the entry
     */
    public void refuse(Incarnation entry) {
        EntrySlots entrySlots = slotsOf(entry);
        if (entrySlots.idle() > 0) {
            entrySlots.useIdle();
        }
    }

    /**
     * Records that a task ended.
     *
     * @param entry the incarnation of the entry that dispatched it
     * @throws IllegalStateException if no task of the entry was running
     */
    public void finish(Incarnation entry) {
        slotsOf(entry).finish();
        checkInvariant();
        removeIfPossible(entry);
    }

    /**
     * Records that an entry has returned unused slots. An entry that does so unasked is granted none until it requests
     * some.
     *
     * @param entry the incarnation of the entry
     * @param returned the number of slots, possibly 0
     */
    public void returnSlots(Incarnation entry, int returned) {
        slotsOf(entry).returnSlots(returned);
    }

    /**
     * Records that a dispatch without a grant is held by the agent until a slot is returned. The next slot granted to
     * the entry is reserved for it.
     *
     * @param entry the incarnation of the entry
     */
    public void hold(Incarnation entry) {
        slotsOf(entry).hold();
    }

    /**
     * Records that a dispatch is no longer held.
     *
     * @param entry the incarnation of the entry
     */
    public void release(Incarnation entry) {
        slotsOf(entry).release();
    }

    /**
     * Records that an entry accepts no idle slots, because it is shutting down.
     *
     * @param entry the incarnation of the entry
     */
    public void decline(Incarnation entry) {
        slotsOf(entry).decline();
    }

    // -- decisions

    /**
     * Reclaims idle grants if entries hold unequal numbers of them and none needs more, so that an entry that connected
     * later receives its share. {@link #allocate} returns the change. To be called periodically.
     *
     * @param nowNanos the present time on the monotonic clock
     */
    public void rebalance(long nowNanos) {
        Optional<EntrySlots> least = acceptingIdle().min(FEWEST_SPARE);
        Optional<EntrySlots> most = connected().max(FEWEST_SPARE);
        if (!open || least.isEmpty() || needingMore().findAny().isPresent() || reclaiming() > 0) {
            return;
        }
        int moved = (most.get().spare() - least.get().spare()) / 2;
        for (int i = 0; i < moved; i++) {
            most.get().reclaim(nowNanos);
        }
    }

    /**
     * Grants the free slots, and reclaims idle ones if another entry needs more.
     *
     * @param nowNanos the present time on the monotonic clock
     * @return one change for each entry that is affected
     */
    public List<GrantChange> allocate(long nowNanos) {
        slotsByEntry.values().forEach(entrySlots -> entrySlots.expireReclaim(nowNanos, RECLAIM_TIMEOUT_NANOS));
        slotsByEntry.values().forEach(entrySlots -> entrySlots.updateDemand(nowNanos, UNUSED_NANOS));
        if (open) {
            grantFree(nowNanos);
            reclaimIdle(nowNanos);
        }
        checkInvariant();
        return slotsByEntry.values().stream()
                .filter(EntrySlots::hasChange)
                .map(EntrySlots::takeChange)
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
     * Counts the slots that a dispatch of an entry may use.
     *
     * @param entry the incarnation of the entry
     * @param granted whether the dispatch uses a granted slot
     * @return the number of slots
     */
    public int available(Incarnation entry, boolean granted) {
        int idle = granted ? granted(entry) : 0;
        return idle > 0 ? idle : free();
    }

    /**
     * Tells whether one more dispatch without a grant may be held, because a slot can be reclaimed for it: one that is
     * granted to another entry, which does not need it.
     *
     * @param entry the incarnation of the entry that sent the dispatch
     * @return true if the dispatch may be held
     */
    public boolean canHold(Incarnation entry) {
        int heldDispatches = slotsByEntry.values().stream()
                .mapToInt(EntrySlots::heldDispatches)
                .sum();
        int unneeded = slotsByEntry.values().stream()
                .filter(entrySlots ->
                        entrySlots.needsNoIdle() && !entrySlots.entry().equals(entry))
                .mapToInt(EntrySlots::idle)
                .sum();
        return open && unneeded > heldDispatches;
    }

    /**
     * Tells whether entries were asked to return slots and have not answered yet.
     *
     * @return true while an answer is outstanding
     */
    public boolean isReclaiming() {
        return reclaiming() > 0;
    }

    /**
     * Counts the slots that a dispatch without a grant could use: the free ones while an entry needs more, else all
     * those in which no task runs.
     *
     * @return the number of slots
     */
    public int openSlots() {
        if (!open) {
            return 0;
        }
        return needingMore().findAny().isPresent() ? free() : slots - running();
    }

    /**
     * Counts the slots in which tasks run.
     *
     * @return the number of slots in use
     */
    public int running() {
        return slotsByEntry.values().stream().mapToInt(EntrySlots::running).sum();
    }

    /**
     * Counts the slots granted but not yet used.
     *
     * @return the number of granted slots
     */
    public int granted() {
        return slotsByEntry.values().stream().mapToInt(EntrySlots::idle).sum();
    }

    /**
     * Counts the slots granted to one entry but not yet used.
     *
     * @param entry the incarnation of the entry
     * @return the number of granted slots
     */
    public int granted(Incarnation entry) {
        EntrySlots entrySlots = slotsByEntry.get(entry);
        return entrySlots == null ? 0 : entrySlots.idle();
    }

    private void grantFree(long nowNanos) {
        for (int free = free(); free > 0; free--) {
            Optional<EntrySlots> next = needingMore().min(FEWEST_ALLOCATED).or(() -> slotsByEntry.values().stream()
                    .filter(EntrySlots::acceptsIdle)
                    .min(FEWEST_SPARE));
            if (next.isEmpty()) {
                return;
            }
            grants++;
            next.get().grant(grants, nowNanos);
        }
    }

    private void reclaimIdle(long nowNanos) {
        int missing = needingMore().mapToInt(EntrySlots::needed).sum() - reclaiming();
        for (; missing > 0; missing--) {
            Optional<EntrySlots> least = needingMore().min(FEWEST_ALLOCATED);
            Optional<EntrySlots> most =
                    connected().filter(s -> s.spare() > 0).max(Comparator.comparingInt(EntrySlots::allocated));
            Optional<EntrySlots> unneeded =
                    connected().filter(s -> s.spare() > 0 && s.needsNoIdle()).max(FEWEST_SPARE);
            if (unneeded.isPresent()) {
                unneeded.get().reclaim(nowNanos);
            } else if (least.isPresent()
                    && most.isPresent()
                    && most.get().allocated() > least.get().allocated() + reclaiming() + 1) {
                most.get().reclaim(nowNanos);
            } else {
                return;
            }
        }
    }

    private int reclaiming() {
        return slotsByEntry.values().stream()
                .mapToInt(s -> s.idle() - s.spare())
                .sum();
    }

    private Stream<EntrySlots> connected() {
        return slotsByEntry.values().stream().filter(EntrySlots::connected);
    }

    private Stream<EntrySlots> acceptingIdle() {
        return slotsByEntry.values().stream().filter(EntrySlots::acceptsIdle);
    }

    private Stream<EntrySlots> needingMore() {
        return slotsByEntry.values().stream().filter(EntrySlots::needsMore);
    }

    private EntrySlots slotsOf(Incarnation entry) {
        return slotsByEntry.computeIfAbsent(entry, EntrySlots::new);
    }

    private void removeIfPossible(Incarnation entry) {
        if (slotsOf(entry).isRemovable()) {
            slotsByEntry.remove(entry);
        }
    }

    private void checkInvariant() {
        boolean consistent =
                slotsByEntry.values().stream().allMatch(s -> s.running() >= 0 && s.idle() >= 0 && s.spare() >= 0);
        if (!consistent || free() < 0) {
            throw new IllegalStateException(
                    "slots=" + slots + " running=" + running() + " granted=" + granted() + ": slots allocated twice");
        }
    }
}
