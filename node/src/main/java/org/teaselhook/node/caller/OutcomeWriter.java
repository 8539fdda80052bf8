package org.teaselhook.node.caller;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.teaselhook.core.outcome.Answer;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.ProblemReply;

/**
 * Writes outcomes as HTTP responses.
 */
public final class OutcomeWriter {

    /** The response header with the name under which the submission can be looked up. */
    public static final String SUBMISSION_HEADER = "teaselhook-submission";

    private static final String COMPLETE = "complete";
    private static final ObjectMapper JSON = new ObjectMapper();

    private OutcomeWriter() {}

    /**
     * Writes an outcome.
     *
     * @param submission the name under which the submission can be looked up
     * @param job whether a complete answer is a job's document rather than the task's own answer
     * @param outcome the outcome
     * @return the response
     */
    public static HttpReply write(String submission, boolean job, Outcome outcome) {
        HttpReply reply = outcome.fold(
                complete -> job ? jobAnswer(submission, complete.answers()) : singleAnswer(complete.answers()),
                notRun -> ProblemReply.notRun(notRun.problem()),
                mayHaveRun -> ProblemReply.mayHaveRun(mayHaveRun.problem()));
        return reply.withHeader(SUBMISSION_HEADER, submission);
    }

    private static HttpReply singleAnswer(List<Answer> answers) {
        Answer answer = answers.get(0);
        return HttpReply.of(answer.httpStatus(), answer.contentType(), answer.body())
                .withHeader(ProblemReply.OUTCOME_HEADER, COMPLETE);
    }

    private static HttpReply jobAnswer(String submission, List<Answer> answers) {
        ObjectNode document = JSON.createObjectNode();
        document.put("submission", submission).put("outcome", COMPLETE);
        ArrayNode list = document.putArray("answers");
        answers.forEach(answer -> addAnswer(list.addObject(), answer));
        return HttpReply.of(200, "application/json", bytes(document)).withHeader(ProblemReply.OUTCOME_HEADER, COMPLETE);
    }

    private static void addAnswer(ObjectNode node, Answer answer) {
        Optional<String> text = utf8(answer.body());
        text.ifPresentOrElse(
                body -> node.put("body", body),
                () -> node.put("body64", Base64.getEncoder().encodeToString(answer.body())));
        if (!answer.contentType().isEmpty()) {
            node.put("contentType", answer.contentType());
        }
    }

    private static Optional<String> utf8(byte[] body) {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static byte[] bytes(ObjectNode document) {
        try {
            return JSON.writeValueAsBytes(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a tree of strings", e);
        }
    }
}
