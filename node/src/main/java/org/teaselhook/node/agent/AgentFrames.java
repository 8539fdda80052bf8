package org.teaselhook.node.agent;

import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.Grant;
import org.teaselhook.wire.GrantReclaim;
import org.teaselhook.wire.TaskRefusal;
import org.teaselhook.wire.TaskResult;
import org.teaselhook.wire.TaskStatus;

/**
 * Builds the frames that an agent sends.
 */
final class AgentFrames {

    private AgentFrames() {}

    static AgentFrame hello(AgentIdentity agent, long connection, AgentHeartbeat state) {
        AgentHello hello = AgentHello.newBuilder()
                .setName(agent.name())
                .setIncarnation(agent.incarnation().value())
                .setZone(agent.zone())
                .setRack(agent.rack())
                .setSlots(agent.slots())
                .setConnection(connection)
                .setState(state)
                .build();
        return AgentFrame.newBuilder().setHello(hello).build();
    }

    static AgentFrame heartbeat(AgentHeartbeat state) {
        return AgentFrame.newBuilder().setHeartbeat(state).build();
    }

    static AgentFrame config(ConfigDocument document) {
        return AgentFrame.newBuilder().setConfig(document).build();
    }

    /**
     * Builds a heartbeat for one entry. While the connection is drained, it reports the agent as leaving, so that the
     * entry sends no more dispatches.
     */
    static AgentFrame heartbeat(AgentHeartbeat state, boolean draining) {
        return heartbeat(draining ? state.toBuilder().setLeaving(true).build() : state);
    }

    static AgentFrame grant(int slots, int openSlots) {
        return AgentFrame.newBuilder()
                .setGrant(Grant.newBuilder().setSlots(slots).setOpenSlots(openSlots))
                .build();
    }

    static AgentFrame reclaim(int slots) {
        return AgentFrame.newBuilder()
                .setReclaim(GrantReclaim.newBuilder().setSlots(slots))
                .build();
    }

    static AgentFrame refusal(long dispatch, RefusalReason reason, SlotUpdate slots) {
        TaskRefusal refusal = TaskRefusal.newBuilder()
                .setDispatch(dispatch)
                .setReason(org.teaselhook.wire.RefusalReason.valueOf(reason.name()))
                .setGrantedSlots(slots.granted())
                .setOpenSlots(slots.open())
                .build();
        return AgentFrame.newBuilder().setRefusal(refusal).build();
    }

    static AgentFrame result(TaskResult result, SlotUpdate slots) {
        TaskResult updated = slots.equals(SlotUpdate.NONE)
                ? result
                : result.toBuilder()
                        .setGrantedSlots(slots.granted())
                        .setOpenSlots(slots.open())
                        .build();
        return AgentFrame.newBuilder().setResult(updated).build();
    }

    /** Returns the result for a task whose record was dropped: the task may have run. */
    static TaskResult unknownResult(long dispatch) {
        return TaskResult.newBuilder()
                .setDispatch(dispatch)
                .setStatus(TaskStatus.UNKNOWN)
                .build();
    }
}
