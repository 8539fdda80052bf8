package org.teaselhook.app.ctl;

import java.util.function.Consumer;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;

/**
 * Asks an entry for something without changing it.
 */
final class Query {

    private final EntryOptions entries;
    private final Output output;

    Query(EntryOptions entries, Output output) {
        this.entries = entries;
        this.output = output;
    }

    /** Sends the request and hands a good response on; prints why there is none. */
    ExitCode ask(HttpCall call, Consumer<HttpReply> onReply) {
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
                    "name other entries with --entry");
        }
        HttpReply reply = ((EntryReply.Replied) result).reply();
        if (reply.status() != 200) {
            return output.failure(reply);
        }
        onReply.accept(reply);
        return ExitCode.DONE;
    }
}
