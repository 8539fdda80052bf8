package org.teaselhook.core.admission;

import org.agrona.collections.LongHashSet;

/**
 * The decisions on the dispatches of one run of an entry.
 */
final class DispatchHistory {

    private final ReplayWindow decided = new ReplayWindow();
    private final LongHashSet started = new LongHashSet();

    boolean markDecided(long dispatch) {
        return decided.add(dispatch);
    }

    long highest() {
        return decided.highest();
    }

    void markStarted(long dispatch) {
        if (!started.add(dispatch)) {
            throw new IllegalStateException("dispatch " + dispatch + " started twice");
        }
    }

    boolean isStarted(long dispatch) {
        return started.contains(dispatch);
    }

    void removeStarted(long dispatch) {
        started.remove(dispatch);
    }

    int startedCount() {
        return started.size();
    }
}
