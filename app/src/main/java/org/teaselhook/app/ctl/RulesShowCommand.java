package org.teaselhook.app.ctl;

import java.util.concurrent.Callable;

import org.teaselhook.net.http.HttpCall;
import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.admin.AdminHeaders;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the current rules file: its text on standard output, its version on standard error.
 */
@Command(
        name = "show",
        description = "Prints the current rules file; its version goes to standard error.",
        mixinStandardHelpOptions = true)
final class RulesShowCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private Output output;

    @Override
    public Integer call() {
        return new Query(entries, output)
                .ask(HttpCall.of("GET", "/v1/admin/rules"), this::print)
                .code();
    }

    private void print(HttpReply reply) {
        String version = reply.header(AdminHeaders.VERSION).orElse("0");
        String source = reply.header(AdminHeaders.SOURCE).orElse("");
        if (output.isJson()) {
            output.print(Output.object()
                    .put("version", Long.parseLong(version))
                    .put("operation", reply.header(AdminHeaders.OPERATION).orElse(""))
                    .put("source", source)
                    .put("text", reply.text()));
            return;
        }
        output.out().print(reply.text());
        output.out().flush();
        output.err()
                .println("version " + version
                        + (source.equals("entry")
                                ? " as held by the entry; the table" + " service was not reached"
                                : ""));
    }
}
