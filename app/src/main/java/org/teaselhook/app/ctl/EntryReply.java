package org.teaselhook.app.ctl;

import org.teaselhook.net.http.HttpReply;

/**
 * The outcome of a request to the entries.
 */
sealed interface EntryReply permits EntryReply.Replied, EntryReply.Unreachable, EntryReply.Unsettled {

    /**
     * An entry answered.
     *
     * @param reply the response
     */
    record Replied(HttpReply reply) implements EntryReply {}

    /**
     * No request was sent, since no entry could be reached.
     *
     * @param reason the last failure
     */
    record Unreachable(String reason) implements EntryReply {}

    /**
     * A request was sent, but not answered, so its outcome is unknown.
     *
     * @param reason the last failure
     */
    record Unsettled(String reason) implements EntryReply {}
}
