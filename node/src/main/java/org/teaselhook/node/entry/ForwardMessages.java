package org.teaselhook.node.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.google.protobuf.UnsafeByteOperations;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.core.outcome.Problem;
import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.node.caller.SubmissionName;
import org.teaselhook.node.caller.SubmissionRequest;
import org.teaselhook.node.caller.TaskBody;
import org.teaselhook.wire.ForwardOutcome;
import org.teaselhook.wire.ForwardReply;
import org.teaselhook.wire.ForwardRequest;
import org.teaselhook.wire.TaskAnswer;
import org.teaselhook.wire.TaskSpec;

/**
 * Converts submissions and outcomes to and from the messages that entries exchange.
 */
final class ForwardMessages {

    private ForwardMessages() {}

    // -- requests

    static ForwardRequest admit(
            Incarnation from,
            Incarnation to,
            SubmissionName name,
            IncomingSubmission incoming,
            long timeoutMillis,
            long nowNanos) {
        SubmissionRequest request = incoming.request();
        return requestTo(to, name, timeoutMillis)
                .setFromIncarnation(from.value())
                .setAgeMillis(ageMillis(incoming, nowNanos))
                .setDigest(incoming.digest())
                .setService(request.service())
                .setCustomer(request.customer())
                .setJob(request.job())
                .addAllTasks(
                        request.tasks().stream().map(ForwardMessages::taskSpec).collect(Collectors.toList()))
                .build();
    }

    static ForwardRequest join(Incarnation to, SubmissionName name, OptionalLong digest, long timeoutMillis) {
        return requestTo(to, name, timeoutMillis)
                .setJoinOnly(true)
                .setDigest(digest.orElse(0))
                .build();
    }

    /** Builds the query of an entry that is about to refuse a submission. */
    static ForwardRequest joinBeforeRefusal(
            Incarnation from, Incarnation to, SubmissionName name, IncomingSubmission incoming, long timeoutMillis) {
        return requestTo(to, name, timeoutMillis)
                .setJoinOnly(true)
                .setDigest(incoming.digest())
                .setFromIncarnation(from.value())
                .setCopyIsYours(incoming.from().filter(to::equals).isPresent())
                .build();
    }

    static ForwardRequest cancel(Incarnation to, SubmissionName name, long timeoutMillis) {
        return requestTo(to, name, timeoutMillis)
                .setJoinOnly(true)
                .setCancel(true)
                .build();
    }

    private static ForwardRequest.Builder requestTo(Incarnation to, SubmissionName name, long timeoutMillis) {
        ForwardRequest.Builder builder =
                ForwardRequest.newBuilder().setToIncarnation(to.value()).setTimeoutMillis(timeoutMillis);
        return name.kind() == SubmissionName.Kind.KEY ? builder.setKey(name.text()) : builder.setTicket(name.text());
    }

    private static long ageMillis(IncomingSubmission incoming, long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - incoming.receivedNanos()) + 1;
    }

    private static TaskSpec taskSpec(TaskBody task) {
        return TaskSpec.newBuilder()
                .setKind(task.kind())
                .setContentType(task.contentType())
                .setBody(UnsafeByteOperations.unsafeWrap(task.body()))
                .build();
    }

    static SubmissionName name(ForwardRequest request) {
        if (!request.getKey().isEmpty()) {
            return SubmissionName.key(request.getKey());
        }
        return SubmissionNames.parseIssued(request.getTicket());
    }

    static SubmissionRequest request(ForwardRequest request) {
        List<TaskBody> tasks = request.getTasksList().stream()
                .map(task -> new TaskBody(
                        task.getKind(), task.getContentType(), task.getBody().toByteArray()))
                .collect(Collectors.toList());
        return new SubmissionRequest(
                request.getService(),
                request.getCustomer(),
                tasks,
                Optional.of(name(request)),
                OptionalLong.of(request.getTimeoutMillis()),
                request.getJob());
    }

    static OptionalLong digest(ForwardRequest request) {
        return request.getDigest() == 0 ? OptionalLong.empty() : OptionalLong.of(request.getDigest());
    }

    // -- replies

    static ForwardReply reply(String submission, Outcome outcome) {
        ForwardReply.Builder reply = outcome.fold(
                complete -> ForwardReply.newBuilder()
                        .setOutcome(ForwardOutcome.FORWARD_COMPLETE)
                        .addAllAnswers(complete.answers().stream()
                                .map(ForwardMessages::answer)
                                .collect(Collectors.toList())),
                notRun -> problem(ForwardOutcome.FORWARD_NOT_RUN, notRun.problem()),
                mayHaveRun -> problem(ForwardOutcome.FORWARD_MAY_HAVE_RUN, mayHaveRun.problem()));
        return reply.setSubmission(submission).build();
    }

    private static ForwardReply.Builder problem(ForwardOutcome outcome, Problem problem) {
        return ForwardReply.newBuilder()
                .setOutcome(outcome)
                .setProblem(problem.kind().name())
                .setDetail(problem.detail())
                .setRetryAfterMillis(problem.retryAfter().toMillis());
    }

    private static TaskAnswer answer(Answer answer) {
        return TaskAnswer.newBuilder()
                .setHttpStatus(answer.httpStatus())
                .setContentType(answer.contentType())
                .setBody(UnsafeByteOperations.unsafeWrap(answer.body()))
                .build();
    }

    /** Converts a reply; empty if the addressed incarnation of the entry no longer runs. */
    static Optional<Outcome> outcome(ForwardReply reply) {
        return switch (reply.getOutcome()) {
            case FORWARD_COMPLETE ->
                Optional.of(Outcome.complete(reply.getAnswersList().stream()
                        .map(answer -> Answer.of(
                                answer.getHttpStatus(),
                                answer.getContentType(),
                                answer.getBody().toByteArray()))
                        .collect(Collectors.toList())));
            case FORWARD_NOT_RUN -> Optional.of(Outcome.notRun(problem(reply)));
            case FORWARD_MAY_HAVE_RUN -> Optional.of(Outcome.mayHaveRun(problem(reply)));
            default -> Optional.empty();
        };
    }

    private static Problem problem(ForwardReply reply) {
        return Problem.of(kind(reply.getProblem()), reply.getDetail(), Duration.ofMillis(reply.getRetryAfterMillis()));
    }

    private static ProblemKind kind(String name) {
        for (ProblemKind kind : ProblemKind.values()) {
            if (kind.name().equals(name)) {
                return kind;
            }
        }
        return ProblemKind.INTERNAL;
    }
}
