package org.teaselhook.bench.failure;

import java.nio.charset.StandardCharsets;

import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;

/** Records what targets see. */
final class RecordingListener implements TaskListener {

    private final HistoryRecorder recorder;

    RecordingListener(HistoryRecorder recorder) {
        this.recorder = recorder;
    }

    @Override
    public void started(TaskStart start) {
        recorder.record(new HistoryEvent.Started(
                body(start), start.attempt(), start.target(), agent(start), start.zone(), recorder.nowNanos()));
    }

    @Override
    public void ended(TaskStart start, int status, long wallMillis) {
        // The caller's answer shows the end.
    }

    @Override
    public void abandoned(TaskStart start, long wallMillis) {
        recorder.record(new HistoryEvent.TaskCut(body(start), agent(start), recorder.nowNanos()));
    }

    private static String body(TaskStart start) {
        return new String(start.body(), StandardCharsets.UTF_8);
    }

    private static String agent(TaskStart start) {
        return start.target().replace("target-", "agent-");
    }
}
