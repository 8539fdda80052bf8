package org.teaselhook.app.ctl;

import java.security.SecureRandom;
import java.util.Locale;

import org.teaselhook.core.id.Incarnation;
import picocli.CommandLine.Option;

/**
 * The options of commands that change the configuration.
 */
final class ChangeOptions {

    @Option(
            names = "--author",
            paramLabel = "NAME",
            description = "The author of the change. Default: the name of the operating system's user.")
    private String author;

    @Option(
            names = "--operation",
            paramLabel = "ID",
            description =
                    "The id of the change. To retry a change whose outcome is unknown, give the id that was printed; it"
                            + " is never applied twice. Default: a new id.")
    private String operation;

    @Option(
            names = {"-w", "--wait"},
            arity = "0..1",
            paramLabel = "SECONDS",
            fallbackValue = "10",
            defaultValue = "0",
            description =
                    "Wait until the change is in force at every live process, for at most this many seconds (10 if"
                            + " no number is given), and list the processes that have not confirmed.")
    private int waitSeconds;

    String author() {
        return author == null ? System.getProperty("user.name", "operator") : author;
    }

    String operation() {
        if (operation == null) {
            operation =
                    "ctl-" + Incarnation.random(new SecureRandom()).toString().toLowerCase(Locale.ROOT);
        }
        return operation;
    }

    long waitMillis() {
        return waitSeconds * 1_000L;
    }
}
