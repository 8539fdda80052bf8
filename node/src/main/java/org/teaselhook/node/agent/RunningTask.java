package org.teaselhook.node.agent;

import java.util.Optional;

import com.google.protobuf.UnsafeByteOperations;
import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.TaskResult;
import org.teaselhook.wire.TaskStatus;

/**
 * A task that was sent to a target.
 *
 * @param entry the incarnation of the entry that dispatched it
 * @param task the dispatch
 * @param target the target
 * @param startedNanos when it was sent, on the agent's clock
 */
record RunningTask(Incarnation entry, Dispatch task, Target target, long startedNanos) {

    private static final int SERVICE_UNAVAILABLE = 503;

    long dispatch() {
        return task.getDispatch();
    }

    /** Returns the reason if the task definitely did not start at the target, or empty if it may have started. */
    Optional<RefusalReason> notStartedReason(HttpResult result) {
        if (result instanceof HttpResult.NotSent) {
            return Optional.of(RefusalReason.CONNECT_FAILED);
        }
        if (result instanceof HttpResult.Replied replied && reportsNotStarted(replied.reply())) {
            return Optional.of(RefusalReason.START_BY_PASSED);
        }
        return Optional.empty();
    }

    private static boolean reportsNotStarted(HttpReply reply) {
        return reply.status() == SERVICE_UNAVAILABLE
                && reply.header("teaselhook-not-started").filter("true"::equals).isPresent();
    }

    /** Returns the result to be retained until the entry acknowledges it. */
    TaskResult result(HttpResult result, long nowNanos) {
        TaskResult.Builder builder = TaskResult.newBuilder()
                .setDispatch(dispatch())
                .setRunNanos(Math.max(0, nowNanos - startedNanos))
                .setTarget(target.name());
        if (result instanceof HttpResult.Replied replied) {
            HttpReply reply = replied.reply();
            return builder.setStatus(isSuccess(reply) ? TaskStatus.COMPLETE : TaskStatus.TARGET_ERROR)
                    .setHttpStatus(reply.status())
                    .setContentType(reply.header("content-type").orElse(""))
                    .setBody(UnsafeByteOperations.unsafeWrap(reply.body()))
                    .build();
        }
        return builder.setStatus(TaskStatus.UNKNOWN).build();
    }

    private static boolean isSuccess(HttpReply reply) {
        return reply.status() / 100 == 2;
    }
}
