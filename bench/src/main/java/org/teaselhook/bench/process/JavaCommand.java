package org.teaselhook.bench.process;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command line of a JVM with a small footprint that runs {@code teaselhook} on this JVM's class path. */
final class JavaCommand {

    private static final String MAIN_CLASS = "org.teaselhook.app.Main";
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx96m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xss256k",
            "-XX:+ExitOnOutOfMemoryError",
            "--add-opens",
            "java.base/jdk.internal.misc=ALL-UNNAMED");

    private JavaCommand() {}

    static List<String> of(List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(MAIN_CLASS);
        command.addAll(arguments);
        return command;
    }
}
