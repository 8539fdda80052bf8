package org.teaselhook.bench.failure;

import java.nio.charset.StandardCharsets;

import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.standin.target.TaskListener;
import org.teaselhook.standin.target.TaskStart;

/** Records the starts and interruptions of tasks at targets. */
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
        // Not recorded: the caller's answer shows the end of the task.
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
