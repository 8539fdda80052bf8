package org.teaselhook.app.ctl;

import org.teaselhook.net.http.HttpReply;
import org.teaselhook.node.admin.AdminHeaders;
import picocli.CommandLine.Command;

/**
 * Shows the current rules file: its text on standard output, its version on standard error.
 */
@Command(
        name = "show",
        description = "Prints the current rules file; its version goes to standard error.",
        mixinStandardHelpOptions = true)
final class RulesShowCommand extends QueryCommand {

    RulesShowCommand() {
        super("/v1/admin/rules");
    }

    @Override
    void printJson(HttpReply reply) {
        output().print(Output.object()
                .put("version", Long.parseLong(version(reply)))
                .put("operation", reply.header(AdminHeaders.OPERATION).orElse(""))
                .put("source", source(reply))
                .put("text", reply.text()));
    }

    @Override
    void printText(HttpReply reply) {
        output().out().print(reply.text());
        output().out().flush();
        String suffix = source(reply).equals("entry") ? " as held by the entry; the table service was not reached" : "";
        output().err().println("version " + version(reply) + suffix);
    }

    private static String version(HttpReply reply) {
        return reply.header(AdminHeaders.VERSION).orElse("0");
    }

    private static String source(HttpReply reply) {
        return reply.header(AdminHeaders.SOURCE).orElse("");
    }
}
