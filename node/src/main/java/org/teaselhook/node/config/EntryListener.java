package org.teaselhook.node.config;

import java.util.List;

import org.teaselhook.core.member.Member;

/**
 * Receives the live entries found by scans of the table service. Called on the control thread.
 */
public interface EntryListener {

    /**
     * Called for each answered scan.
     *
     * @param live the live entries
     * @param sentNanos when the scan was sent
     */
    void onScan(List<Member> live, long sentNanos);

    /**
     * Called when the set of live entries or their data has changed. Heartbeats alone are not a change.
     *
     * @param live the live entries
     */
    void onChange(List<Member> live);
}
