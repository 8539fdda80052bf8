package org.teaselhook.node.session;

import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.dispatch.TaskStatus;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.wire.Ack;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.AgentHello;
import org.teaselhook.wire.Cancel;
import org.teaselhook.wire.ConfigRequest;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.GrantReturn;
import org.teaselhook.wire.TargetOffer;
import org.teaselhook.wire.TaskResult;

/**
 * Converts between frames of the wire protocol and the dispatcher's types.
 */
final class Frames {

    private static final RefusalReason[] REASONS = RefusalReason.values();

    private Frames() {}

    // -- from agents

    static AgentInfo info(AgentHello hello) {
        return new AgentInfo(
                Incarnation.of(hello.getIncarnation()),
                hello.getName(),
                hello.getZone(),
                hello.getRack(),
                hello.getSlots());
    }

    static AgentState state(AgentHeartbeat heartbeat) {
        return new AgentState(
                heartbeat.getTargetsList().stream()
                        .filter(target -> !target.getLeaving())
                        .map(TargetOffer::getService)
                        .collect(Collectors.toSet()),
                heartbeat.getLeaving(),
                heartbeat.getConfigVersion(),
                heartbeat.getFreeSlots());
    }

    static TaskStatus status(TaskResult result) {
        return switch (result.getStatus()) {
            case COMPLETE -> TaskStatus.COMPLETE;
            case TARGET_ERROR -> TaskStatus.TARGET_ERROR;
            default -> TaskStatus.UNKNOWN;
        };
    }

    static Answer answer(TaskResult result) {
        return Answer.of(
                result.getHttpStatus(),
                result.getContentType(),
                result.getBody().toByteArray());
    }

    /** Converts a reason; one unknown to this version maps to {@code CONNECT_FAILED}, which means not started. */
    static RefusalReason reason(org.teaselhook.wire.RefusalReason reason) {
        for (RefusalReason candidate : REASONS) {
            if (candidate.name().equals(reason.name())) {
                return candidate;
            }
        }
        return RefusalReason.CONNECT_FAILED;
    }

    // -- to agents

    static EntryFrame dispatch(DispatchOrder order, AgentClockEstimate clock, String submission) {
        return EntryFrame.newBuilder()
                .setDispatch(Dispatch.newBuilder()
                        .setDispatch(order.number())
                        .setAgentIncarnation(order.agent().value())
                        .setEchoAgentNanos(clock.agentNanos())
                        .setStartByAgentNanos(clock.toAgentTime(order.startBy()))
                        .setFinishByAgentNanos(clock.toAgentTime(order.finishBy()))
                        .setConfigVersion(order.configVersion())
                        .setService(order.service())
                        .setKind(order.task().kind())
                        .setCustomer(order.customer())
                        .setSubmission(submission)
                        .setTaskIndex(order.taskIndex())
                        .setContentType(order.task().contentType())
                        .setBody(bytes(order.task().body()))
                        .setGranted(order.granted())
                        .setIdempotent(order.task().idempotent()))
                .build();
    }

    static EntryFrame cancel(long number) {
        return EntryFrame.newBuilder()
                .setCancel(Cancel.newBuilder().setDispatch(number))
                .build();
    }

    static EntryFrame ack(long number) {
        return EntryFrame.newBuilder()
                .setAck(Ack.newBuilder().addDispatch(number))
                .build();
    }

    static EntryFrame configRequest() {
        return EntryFrame.newBuilder()
                .setConfigRequest(ConfigRequest.getDefaultInstance())
                .build();
    }

    static EntryFrame grantReturn(int slots) {
        return EntryFrame.newBuilder()
                .setGrantReturn(GrantReturn.newBuilder().setSlots(slots))
                .build();
    }

    private static ByteString bytes(byte[] body) {
        return UnsafeByteOperations.unsafeWrap(body);
    }
}
