package org.teaselhook.node.agent;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.wire.Dispatch;

/**
 * A dispatch without a grant that waits at the agent for a slot to come back. Nothing is decided on it yet.
 *
 * @param entry the run of the entry that sent it
 * @param task the dispatch
 * @param arrival when it arrived
 */
record HeldDispatch(Incarnation entry, Dispatch task, AgentTime arrival) {}
