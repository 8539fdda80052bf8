package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpClient;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.Dispatch;

/**
 * Sends tasks to targets.
 */
@FunctionalInterface
interface TaskRunner {

    /** Sends a task; the stage completes with the result, and never exceptionally. */
    CompletionStage<HttpResult> run(
            InetSocketAddress target, Incarnation entry, Dispatch task, long startByWallMillis, long timeoutMillis);

    /** Returns a runner that sends each task as an HTTP POST request. */
    static TaskRunner http(HttpClient client) {
        return (target, entry, task, startByWallMillis, timeoutMillis) ->
                client.send(target, call(entry, task, startByWallMillis), timeoutMillis);
    }

    private static HttpCall call(Incarnation entry, Dispatch task, long startByWallMillis) {
        Map<String, String> headers = new HashMap<>();
        headers.put("teaselhook-submission", task.getSubmission());
        headers.put("teaselhook-task", Integer.toString(task.getTaskIndex()));
        headers.put("teaselhook-attempt", entry + "-" + task.getDispatch());
        headers.put("teaselhook-customer", task.getCustomer());
        headers.put("teaselhook-start-by", Long.toString(startByWallMillis));
        if (!task.getContentType().isEmpty()) {
            headers.put("content-type", task.getContentType());
        }
        String path = "/v1/tasks/" + task.getService() + "/" + task.getKind();
        return HttpCall.of("POST", path, headers, task.getBody().toByteArray());
    }
}
