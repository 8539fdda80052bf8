package org.teaselhook.bench.capacity;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code capacity}: measures resource usage at several sizes and prints the points and fitted lines. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures resource usage of each role at several sizes; prints points and fitted lines.")
public final class CapacityCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Option(names = "--part", split = ",", description = "Parts by name; all of them by default.")
    private List<String> parts = List.of();

    @Option(names = "--seconds", defaultValue = "8", description = "Length of each measurement (${DEFAULT-VALUE}).")
    private double seconds;

    private CapacityCommand() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new CapacityCommand()).execute(arguments));
    }

    @Override
    public Integer call() throws Exception {
        List<CapacityPart> selected = selectedParts();
        PrintWriter out = spec.commandLine().getOut();
        CapacityRun run = new CapacityRun(out, Files.createTempDirectory("capacity"), seconds);
        out.println("logs=" + run.directory() + " seconds=" + seconds);
        for (CapacityPart part : selected) {
            part.run(run);
        }
        return 0;
    }

    private List<CapacityPart> selectedParts() {
        if (parts.isEmpty()) {
            return List.of(CapacityPart.values());
        }
        return parts.stream().map(this::part).toList();
    }

    private CapacityPart part(String label) {
        String known =
                Arrays.stream(CapacityPart.values()).map(CapacityPart::label).collect(Collectors.joining(", "));
        return CapacityPart.of(label)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(), "no part is named " + label + "; choose one of " + known));
    }
}
