package org.teaselhook.app.ctl;

import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.teaselhook.core.rules.RuleName;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Takes availability zones out of service and back in.
 */
@Command(
        name = "zone",
        description = "Takes an availability zone out of service or back in.",
        mixinStandardHelpOptions = true)
final class ZoneCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is required: out or in");
    }

    @Command(name = "out", description = "Takes an availability zone out of service.", mixinStandardHelpOptions = true)
    int out(
            @Mixin EntryOptions entries,
            @Mixin ChangeOptions change,
            @Mixin Output output,
            @Option(
                            names = "--why",
                            paramLabel = "REASON",
                            defaultValue = "",
                            description = "The reason, stored as the" + " comment of the line.")
                    String why,
            @Parameters(paramLabel = "ZONE", description = "The availability zone's name.") String zone) {
        int code = change(new ChangeRequest(entries, change, output), zone, "out", why);
        if (code == ExitCode.DONE.code() || code == ExitCode.NOT_IN_FORCE.code()) {
            new ZoneNameCheck(entries, output).warn(zone);
        }
        return code;
    }

    @Command(
            name = "in",
            description = "Takes an availability zone back into service.",
            mixinStandardHelpOptions = true)
    int in(
            @Mixin EntryOptions entries,
            @Mixin ChangeOptions change,
            @Mixin Output output,
            @Parameters(paramLabel = "ZONE", description = "The availability zone's name.") String zone) {
        return change(new ChangeRequest(entries, change, output), zone, "in", "");
    }

    private int change(ChangeRequest request, String zone, String direction, String body) {
        if (!RuleName.isValid(zone)) {
            throw new ParameterException(spec.commandLine(), "not a valid zone name: " + zone + "; " + RuleName.REMEDY);
        }
        String path = "/v1/admin/zones/" + zone + "/" + direction;
        return request.send("POST", path, Map.of(), body.getBytes(StandardCharsets.UTF_8))
                .code();
    }
}
