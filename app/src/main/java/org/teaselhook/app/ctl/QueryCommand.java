package org.teaselhook.app.ctl;

import java.util.concurrent.Callable;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Mixin;

/**
 * A command that sends a read request to an entry and prints the response.
 */
abstract class QueryCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private Output output;

    private final HttpCall request;

    QueryCommand(String path) {
        this.request = HttpCall.of("GET", path);
    }

    @Override
    public final Integer call() {
        return new Query(entries, output).send(request, this::print).code();
    }

    private void print(HttpReply reply) {
        if (output.isJson()) {
            printJson(reply);
        } else {
            printText(reply);
        }
    }

    /** Prints one JSON document: the response itself unless a subclass overrides this. */
    void printJson(HttpReply reply) {
        output.print(Output.tree(reply));
    }

    /** Prints the response as text. */
    abstract void printText(HttpReply reply);

    final Output output() {
        return output;
    }
}
