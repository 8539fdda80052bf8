package org.teaselhook.core.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/** Checks that within the retention time a key is acquired once, or again only by the holder that abandoned it. */
final class ClaimHistory {

    private final long retentionNanos;
    private final Map<String, Acquisition> lastAcquisitions = new HashMap<>();
    private int acquired;
    private int reacquired;
    private int reused;

    ClaimHistory(long retentionMillis) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    private record Acquisition(Incarnation holder, long atNanos, boolean abandoned) {}

    void recordAcquired(String key, Incarnation holder, long atNanos) {
        Acquisition last = lastAcquisitions.put(key, new Acquisition(holder, atNanos, false));
        acquired++;
        if (last == null) {
            return;
        }
        if (atNanos - last.atNanos() >= retentionNanos) {
            reused++;
        } else if (last.abandoned() && last.holder().equals(holder)) {
            reacquired++;
        } else {
            throw new AssertionError(key + " was acquired by " + last.holder() + " and then by " + holder + " after "
                    + TimeUnit.NANOSECONDS.toMillis(atNanos - last.atNanos()) + " ms");
        }
    }

    /** Records that a holder abandons an acquired key; returns false if another holder acquired it last. */
    boolean abandon(String key, Incarnation holder) {
        Acquisition last = lastAcquisitions.get(key);
        if (!last.holder().equals(holder)) {
            return false;
        }
        lastAcquisitions.put(key, new Acquisition(holder, last.atNanos(), true));
        return true;
    }

    /** Returns whether a key was acquired before a time and is neither abandoned nor past the retention time. */
    boolean isHeldSince(String key, long sinceNanos, long nowNanos) {
        Acquisition last = lastAcquisitions.get(key);
        return last != null
                && !last.abandoned()
                && last.atNanos() <= sinceNanos
                && nowNanos - last.atNanos() < retentionNanos;
    }

    int acquired() {
        return acquired;
    }

    int reacquired() {
        return reacquired;
    }

    int reused() {
        return reused;
    }
}
