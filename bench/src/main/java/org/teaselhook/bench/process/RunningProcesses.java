package org.teaselhook.bench.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The processes that this JVM has started and not yet seen end; they are killed when this JVM exits. */
final class RunningProcesses {

    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(RunningProcesses::killAll));
    }

    private RunningProcesses() {}

    static void add(Process process) {
        RUNNING.add(process);
        process.onExit().thenAccept(RUNNING::remove);
    }

    private static void killAll() {
        RUNNING.forEach(Process::destroyForcibly);
    }
}
