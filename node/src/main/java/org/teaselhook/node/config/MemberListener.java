package org.teaselhook.node.config;

import java.util.List;

import org.teaselhook.core.member.Member;

/**
 * Is told which entries the table service lists as live. Called on the control thread.
 */
public interface MemberListener {

    /**
     * A scan was answered.
     *
     * @param live the live entries
     * @param sentNanos when the scan was sent
     */
    void listed(List<Member> live, long sentNanos);

    /**
     * The live entries, or what they say other than beats, have changed.
     *
     * @param live the live entries
     */
    void changed(List<Member> live);
}
