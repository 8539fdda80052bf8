package org.teaselhook.node.agent;

import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.TaskResult;

/** The agent's log events, one for each decision or state change. */
final class AgentLog {

    private AgentLog() {}

    // -- connections

    static void entryConnected(EntryHello hello, Incarnation id, int unacknowledgedResults) {
        LogLine.of("entry-connected")
                .with("entry", hello.getName())
                .with("incarnation", id)
                .with("in_progress", hello.getInProgressCount())
                .with("kept", unacknowledgedResults)
                .info();
    }

    static void entryRetired(String name, Incarnation id) {
        LogLine.of("entry-forgotten")
                .with("entry", name)
                .with("incarnation", id)
                .info();
    }

    static void frameIgnored(Incarnation id, Object frame) {
        LogLine.of("frame-ignored").with("entry", id).with("frame", frame).warn();
    }

    // -- state

    static void configuration(long version, boolean zoneOut) {
        LogLine.of("configuration")
                .with("version", version)
                .with("zone_out", zoneOut)
                .info();
    }

    static void targetAvailable(String name, String service) {
        LogLine.of("target-available")
                .with("target", name)
                .with("service", service)
                .info();
    }

    static void targetLeaving(String name) {
        LogLine.of("target-leaving").with("target", name).info();
    }

    static void targetExpired() {
        LogLine.of("target-lapsed").warn();
    }

    static void leaving(int running) {
        LogLine.of("leaving").with("running", running).info();
    }

    // -- tasks

    static void start(Incarnation id, Dispatch task, Target target, int running) {
        LogLine.of("start")
                .with("entry", id)
                .with("dispatch", task.getDispatch())
                .with("submission", task.getSubmission())
                .with("task", task.getTaskIndex())
                .with("kind", task.getKind())
                .with("target", target.name())
                .with("running", running)
                .info();
    }

    static void duplicate(Incarnation id, long dispatch) {
        LogLine.of("duplicate").with("entry", id).with("dispatch", dispatch).warn();
    }

    static void refusal(Incarnation id, long dispatch, RefusalReason reason) {
        LogLine.of("refusal")
                .with("entry", id)
                .with("dispatch", dispatch)
                .with("reason", reason)
                .info();
    }

    static void result(Incarnation id, TaskResult result) {
        LogLine.of("result")
                .with("entry", id)
                .with("dispatch", result.getDispatch())
                .with("status", result.getStatus())
                .with("http_status", result.getHttpStatus())
                .with("run_ms", result.getRunNanos() / 1_000_000L)
                .info();
    }
}
