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
 * Makes the frames that an agent sends.
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

    static AgentFrame config(ConfigDocument held) {
        return AgentFrame.newBuilder().setConfig(held).build();
    }

    /** Makes a heartbeat that tells one entry to place nothing more at this agent, though it goes on. */
    static AgentFrame heartbeat(AgentHeartbeat state, boolean parting) {
        return heartbeat(parting ? state.toBuilder().setLeaving(true).build() : state);
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

    static AgentFrame refusal(long dispatch, RefusalReason reason, SlotNews slots) {
        TaskRefusal refusal = TaskRefusal.newBuilder()
                .setDispatch(dispatch)
                .setReason(org.teaselhook.wire.RefusalReason.valueOf(reason.name()))
                .setGrantedSlots(slots.granted())
                .setOpenSlots(slots.open())
                .build();
        return AgentFrame.newBuilder().setRefusal(refusal).build();
    }

    static AgentFrame result(TaskResult result, SlotNews slots) {
        TaskResult told = slots.equals(SlotNews.NONE)
                ? result
                : result.toBuilder()
                        .setGrantedSlots(slots.granted())
                        .setOpenSlots(slots.open())
                        .build();
        return AgentFrame.newBuilder().setResult(told).build();
    }

    /** Returns the result of a task whose record is gone: it may have run. */
    static TaskResult unknown(long dispatch) {
        return TaskResult.newBuilder()
                .setDispatch(dispatch)
                .setStatus(TaskStatus.UNKNOWN)
                .build();
    }
}
