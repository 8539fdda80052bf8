package org.teaselhook.node.agent;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.wire.Dispatch;

/**
 * A dispatch without a grant that the agent holds until a slot is returned. It is neither admitted nor refused yet.
 *
 * @param entry the incarnation of the entry that sent it
 * @param task the dispatch
 * @param arrival when it arrived
 */
record HeldDispatch(Incarnation entry, Dispatch task, AgentTime arrival) {}
