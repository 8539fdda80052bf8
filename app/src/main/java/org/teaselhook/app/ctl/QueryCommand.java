package org.teaselhook.app.ctl;

import java.util.concurrent.Callable;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import picocli.CommandLine.Mixin;

/**
 * A command that asks an entry for something and prints the response.
 */
abstract class QueryCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private Output output;

    private final HttpCall question;

    QueryCommand(String path) {
        this.question = HttpCall.of("GET", path);
    }

    @Override
    public final Integer call() {
        return new Query(entries, output).ask(question, this::print).code();
    }

    private void print(HttpReply reply) {
        if (output.isJson()) {
            printJson(reply);
        } else {
            printText(reply);
        }
    }

    /** Prints one JSON document; the response itself unless a command says otherwise. */
    void printJson(HttpReply reply) {
        output.print(Output.tree(reply));
    }

    /** Prints the response for people. */
    abstract void printText(HttpReply reply);

    final Output output() {
        return output;
    }
}
