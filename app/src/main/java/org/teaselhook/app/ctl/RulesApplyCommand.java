package org.teaselhook.app.ctl;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

import org.teaselhook.node.admin.AdminHeaders;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Replaces the rules file.
 */
@Command(
        name = "apply",
        description = "Replaces the rules file if the current version is still the one that the file is based on.",
        mixinStandardHelpOptions = true)
final class RulesApplyCommand implements Callable<Integer> {

    @Mixin
    private EntryOptions entries;

    @Mixin
    private ChangeOptions change;

    @Mixin
    private Output output;

    @Option(
            names = "--expect",
            required = true,
            paramLabel = "VERSION",
            description = "The version that the file is based on, as printed by `ctl rules show`; 0 for the first.")
    private long expected;

    @Parameters(paramLabel = "FILE", description = "The new rules file.")
    private Path path;

    @Override
    public Integer call() {
        return new RulesFile(path, output).ifValid(this::apply).code();
    }

    private ExitCode apply(String text) {
        Map<String, String> headers = Map.of(AdminHeaders.EXPECTED_VERSION, Long.toString(expected));
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        return new ChangeRequest(entries, change, output).send("PUT", "/v1/admin/rules", headers, body);
    }
}
