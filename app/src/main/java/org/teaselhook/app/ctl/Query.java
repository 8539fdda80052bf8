package org.teaselhook.app.ctl;

import java.util.function.Consumer;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;

/**
 * Sends a read request to an entry.
 */
final class Query {

    private final EntryOptions entries;
    private final Output output;

    Query(EntryOptions entries, Output output) {
        this.entries = entries;
        this.output = output;
    }

    /** Sends the request and passes a successful response on; prints an error otherwise. */
    ExitCode send(HttpCall call, Consumer<HttpReply> onReply) {
        try (EntryClient client = new EntryClient(entries)) {
            return finish(client.send(call), onReply);
        }
    }

    private ExitCode finish(EntryReply result, Consumer<HttpReply> onReply) {
        if (result instanceof EntryReply.Unreachable unreachable) {
            return output.failure(unreachable);
        }
        if (result instanceof EntryReply.Unsettled unsettled) {
            return output.failure(
                    ExitCode.UNREACHABLE,
                    "no entry answered: " + unsettled.reason(),
                    "give other entries with --entry");
        }
        HttpReply reply = ((EntryReply.Replied) result).reply();
        if (reply.status() != 200) {
            return output.failure(reply);
        }
        onReply.accept(reply);
        return ExitCode.DONE;
    }
}
