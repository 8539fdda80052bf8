package org.teaselhook.core.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;

/** Checks that within the retention time a key is won once, or again only by the holder that abandoned it. */
final class ClaimHistory {

    private final long retentionNanos;
    private final Map<String, Win> lastWins = new HashMap<>();
    private int wins;
    private int takenUp;
    private int reused;

    ClaimHistory(long retentionMillis) {
        this.retentionNanos = TimeUnit.MILLISECONDS.toNanos(retentionMillis);
    }

    private record Win(Incarnation holder, long atNanos, boolean abandoned) {}

    void won(String key, Incarnation holder, long atNanos) {
        Win last = lastWins.put(key, new Win(holder, atNanos, false));
        wins++;
        if (last == null) {
            return;
        }
        if (atNanos - last.atNanos() >= retentionNanos) {
            reused++;
        } else if (last.abandoned() && last.holder().equals(holder)) {
            takenUp++;
        } else {
            throw new AssertionError(key + " was won by " + last.holder() + " and then by " + holder + " after "
                    + TimeUnit.NANOSECONDS.toMillis(atNanos - last.atNanos()) + " ms");
        }
    }

    /** Returns whether the holder may abandon: the key's last win is its own. The key must have been won before. */
    boolean abandon(String key, Incarnation holder) {
        Win last = lastWins.get(key);
        if (!last.holder().equals(holder)) {
            return false;
        }
        lastWins.put(key, new Win(holder, last.atNanos(), true));
        return true;
    }

    /** Returns whether a key was won before a time and is neither abandoned nor past the retention time. */
    boolean isHeldSince(String key, long sinceNanos, long nowNanos) {
        Win last = lastWins.get(key);
        return last != null
                && !last.abandoned()
                && last.atNanos() <= sinceNanos
                && nowNanos - last.atNanos() < retentionNanos;
    }

    int wins() {
        return wins;
    }

    int takenUp() {
        return takenUp;
    }

    int reused() {
        return reused;
    }
}
