package org.teaselhook.core.admission;

import org.agrona.collections.LongHashSet;

/**
 * What is known of the dispatches of one run of an entry.
 */
final class EntryRecord {

    private final SeenNumbers seen = new SeenNumbers();
    private final LongHashSet started = new LongHashSet();

    boolean remember(long dispatch) {
        return seen.add(dispatch);
    }

    long highest() {
        return seen.highest();
    }

    void start(long dispatch) {
        if (!started.add(dispatch)) {
            throw new IllegalStateException("dispatch " + dispatch + " started twice");
        }
    }

    boolean isStarted(long dispatch) {
        return started.contains(dispatch);
    }

    void forget(long dispatch) {
        started.remove(dispatch);
    }

    int startedCount() {
        return started.size();
    }
}
