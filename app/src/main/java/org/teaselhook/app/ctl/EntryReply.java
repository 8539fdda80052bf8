package org.teaselhook.app.ctl;

import org.teaselhook.net.http.HttpReply;

/**
 * What came of asking the entries.
 */
sealed interface EntryReply permits EntryReply.Replied, EntryReply.Unreachable, EntryReply.Unsettled {

    /**
     * An entry answered.
     *
     * @param reply the response
     */
    record Replied(HttpReply reply) implements EntryReply {}

    /**
     * No entry was sent anything.
     *
     * @param reason what was seen last
     */
    record Unreachable(String reason) implements EntryReply {}

    /**
     * A request was sent, and no entry could tell what became of it.
     *
     * @param reason what was seen last
     */
    record Unsettled(String reason) implements EntryReply {}
}
