package org.teaselhook.bench.process;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The running child processes of this JVM, which are killed when the JVM exits. */
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
