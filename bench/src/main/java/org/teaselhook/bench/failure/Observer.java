package org.teaselhook.bench.failure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.AgentNode;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.MetricsPage;
import org.teaselhook.bench.process.Operators;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;

/** Watches what processes say about themselves: versions while they run, broken invariants and history at the end. */
final class Observer {

    private static final long POLL_INTERVAL_MILLIS = 250;
    private static final String AGENT_VERSION = "teaselhook_agent_config_version";
    private static final int MAX_HISTORY = 1_000;
    private static final Pattern INVARIANT_VIOLATED = Pattern.compile("event=(invariant-violated|internal-error) ");

    private final Site site;
    private final HistoryRecorder recorder;

    Observer(Site site, HistoryRecorder recorder) {
        this.site = site;
        this.recorder = recorder;
    }

    /** Polls the version of one entry until interrupted. */
    void watch(EntryNode entry) {
        Operators operators = Operators.of(site.client(), entry.http());
        watch(entry.process(), operators::version);
    }

    /** Polls the version of one agent until interrupted. */
    void watch(AgentNode agent) {
        MetricsPage metrics = MetricsPage.of(site.client(), agent.http());
        watch(agent.process(), () -> metrics.value(AGENT_VERSION));
    }

    private void watch(ProcessNode process, Supplier<OptionalLong> version) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                poll(process, version);
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll(ProcessNode process, Supplier<OptionalLong> version) {
        if (!process.isActive()) {
            return;
        }
        long pid = process.pid();
        OptionalLong seen = version.get();
        if (seen.isPresent() && process.pid() == pid) {
            String run = process.name() + "#" + pid;
            recorder.record(new HistoryEvent.VersionSeen(run, seen.getAsLong(), recorder.nowNanos()));
        }
    }

    /** Reads the configuration's history from the first entry that can tell it. */
    void readChanges() {
        for (EntryNode entry : site.entries()) {
            long nowNanos = recorder.nowNanos();
            var changes = Operators.of(site.client(), entry.http()).history(MAX_HISTORY);
            changes.forEach(change ->
                    recorder.record(new HistoryEvent.ChangeKept(change.version(), change.operation(), nowNanos)));
            if (!changes.isEmpty()) {
                return;
            }
        }
    }

    /** Finds broken invariants, which a control thread logs as internal errors, in every log. */
    void readLogs() {
        site.processes().forEach(this::readLog);
    }

    private void readLog(ProcessNode process) {
        try (Stream<String> lines = Files.lines(process.log(), StandardCharsets.ISO_8859_1)) {
            lines.filter(line -> INVARIANT_VIOLATED.matcher(line).find())
                    .forEach(line -> recorder.record(
                            new HistoryEvent.InvariantViolated(process.name(), line, recorder.nowNanos())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
