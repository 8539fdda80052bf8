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
import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.AgentNode;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.MetricsPage;
import org.teaselhook.bench.process.ProcessNode;
import org.teaselhook.bench.process.Site;

/** Records the processes' configuration versions during a run, and their logged errors and the history at its end. */
final class Observer {

    private static final long POLL_INTERVAL_MILLIS = 250;
    private static final String AGENT_VERSION = "teaselhook_agent_config_version";
    private static final int MAX_CHANGES = 1_000;
    private static final Pattern INVARIANT_VIOLATED = Pattern.compile("event=(invariant-violated|internal-error) ");

    private final Site site;
    private final HistoryRecorder recorder;

    Observer(Site site, HistoryRecorder recorder) {
        this.site = site;
        this.recorder = recorder;
    }

    /** Polls an entry's configuration version until interrupted. */
    void watch(EntryNode entry) {
        AdminClient adminClient = AdminClient.of(site.client(), entry.http());
        pollVersion(entry.process(), adminClient::version);
    }

    /** Polls an agent's configuration version until interrupted. */
    void watch(AgentNode agent) {
        MetricsPage metrics = MetricsPage.of(site.client(), agent.http());
        pollVersion(agent.process(), () -> metrics.value(AGENT_VERSION));
    }

    private void pollVersion(ProcessNode process, Supplier<OptionalLong> version) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                recordVersion(process, version);
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordVersion(ProcessNode process, Supplier<OptionalLong> version) {
        if (!process.isActive()) {
            return;
        }
        long pid = process.pid();
        OptionalLong seen = version.get();
        if (seen.isPresent() && process.pid() == pid) {
            String incarnation = process.name() + "#" + pid;
            recorder.record(new HistoryEvent.VersionSeen(incarnation, seen.getAsLong(), recorder.nowNanos()));
        }
    }

    /** Reads the configuration's history from the first entry that returns any changes. */
    void readChanges() {
        for (EntryNode entry : site.entries()) {
            long nowNanos = recorder.nowNanos();
            var changes = AdminClient.of(site.client(), entry.http()).history(MAX_CHANGES);
            changes.forEach(change ->
                    recorder.record(new HistoryEvent.ChangeKept(change.version(), change.operation(), nowNanos)));
            if (!changes.isEmpty()) {
                return;
            }
        }
    }

    /** Searches every log for violated invariants; a control thread logs them as internal errors. */
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
