package org.teaselhook.node.caller;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.teaselhook.core.outcome.ProblemKind;
import org.teaselhook.net.http.HttpCall;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class SubmissionReaderTest {

    private static final int MAX_TASKS = 3;

    private final SubmissionReader reader = SubmissionReader.of("default", MAX_TASKS);

    // -- job

    @Test
    public void shouldReadJob() {
        SubmissionRequest request = parsed(
                "{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"body\":\"a\"},{\"kind\":\"k\",\"body64\":\"AAE=\"}]}");
        assertEquals(request.tasks().size(), 2);
        assertEquals(request.tasks().get(1).body(), new byte[] {0, 1});
        assertEquals(request.customer(), "default");
    }

    @DataProvider
    public Object[][] malformedJobs() {
        return new Object[][] {
            {"", ProblemKind.BAD_REQUEST, "object"},
            {"[]", ProblemKind.BAD_REQUEST, "object"},
            {"{", ProblemKind.BAD_REQUEST, "job document"},
            {"{\"tasks\":[{\"kind\":\"k\"}]}", ProblemKind.BAD_REQUEST, "service"},
            {"{\"service\":\"s\"}", ProblemKind.BAD_REQUEST, "tasks must be an array"},
            {"{\"service\":\"s\",\"tasks\":[]}", ProblemKind.BAD_REQUEST, "at least one"},
            {"{\"service\":\"s\",\"tasks\":[{}]}", ProblemKind.BAD_REQUEST, "task 0 needs the member kind"},
            {"{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"x\":1}]}", ProblemKind.BAD_REQUEST, "unknown member x"},
            {"{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"body\":1}]}", ProblemKind.BAD_REQUEST, "body"},
            {"{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"body64\":\"%\"}]}", ProblemKind.BAD_REQUEST, "base64"},
            {"{\"service\":\"s\",\"service\":\"t\",\"tasks\":[]}", ProblemKind.BAD_REQUEST, "Duplicate"},
            {"{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\"}]} x", ProblemKind.BAD_REQUEST, "job document"},
            {"{\"service\":\"s\",\"tasks\":[{},{},{},{}]}", ProblemKind.TOO_LARGE, "at most 3"},
        };
    }

    @Test(dataProvider = "malformedJobs")
    public void shouldReportProblemOfMalformedJob(String body, ProblemKind kind, String detail) {
        ParseResult result = reader.job(post(Map.of(), body));
        ParseResult.Malformed malformed = (ParseResult.Malformed) result;
        assertEquals(malformed.problem().kind(), kind);
        assertTrue(
                malformed.problem().detail().contains(detail),
                malformed.problem().detail());
    }

    // -- single request

    @DataProvider
    public Object[][] badHeaders() {
        return new Object[][] {
            {Map.of("idempotency-key", "x".repeat(129))},
            {Map.of("idempotency-key", "two words")},
            {Map.of("idempotency-key", "k", "teaselhook-ticket", "t")},
            {Map.of("teaselhook-timeout-ms", "-1")},
            {Map.of("teaselhook-timeout-ms", "0")},
            {Map.of("teaselhook-timeout-ms", "1s")},
            {Map.of("teaselhook-timeout-ms", "99999999999999999999")},
            {Map.of("teaselhook-customer", "")},
        };
    }

    @Test(dataProvider = "badHeaders")
    public void shouldRefuseBadHeaders(Map<String, String> headers) {
        assertTrue(reader.single("s", "k", post(headers, "")) instanceof ParseResult.Malformed);
    }

    // -- digest

    @Test
    public void shouldDistinguishRequestsByDigest() {
        SubmissionRequest one = parsed("{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"body\":\"ab\"}]}");
        SubmissionRequest same = parsed("{\"tasks\":[{\"body\":\"ab\",\"kind\":\"k\"}],\"service\":\"s\"}");
        SubmissionRequest split = parsed(
                "{\"service\":\"s\",\"tasks\":[{\"kind\":\"k\",\"body\":\"a\"},{\"kind\":\"k\",\"body\":\"b\"}]}");
        assertEquals(one.digest(), same.digest());
        assertNotEquals(one.digest(), split.digest());
    }

    // -- helpers

    private SubmissionRequest parsed(String body) {
        return ((ParseResult.Parsed) reader.job(post(Map.of(), body))).request();
    }

    private static HttpCall post(Map<String, String> headers, String body) {
        return HttpCall.of("POST", "/", headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
