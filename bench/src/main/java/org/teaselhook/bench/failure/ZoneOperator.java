package org.teaselhook.bench.failure;

import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;

import org.teaselhook.bench.history.HistoryEvent;
import org.teaselhook.bench.history.HistoryRecorder;
import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.ChangeResult;
import org.teaselhook.bench.process.EntryNode;
import org.teaselhook.bench.process.Site;

/** Takes availability zones out and brings them back; retries use the same operation id. */
final class ZoneOperator {

    private static final int MAX_ATTEMPTS = 4;

    private final Site site;
    private final HistoryRecorder recorder;

    ZoneOperator(Site site, HistoryRecorder recorder) {
        this.site = site;
        this.recorder = recorder;
    }

    /** Sends a change to one entry after another until it is accepted or attempts run out; returns the last result. */
    ChangeResult change(PlannedZoneChange plan) {
        String operation = "op-" + UUID.randomUUID();
        long sentNanos = recorder.nowNanos();
        ChangeResult result = new ChangeResult(OptionalLong.empty(), false, "not tried");
        for (int i = 0; i < MAX_ATTEMPTS && result.version().isEmpty(); i++) {
            List<EntryNode> entries = site.entries();
            EntryNode entry = entries.get((plan.entry() + i) % entries.size());
            result = AdminClient.of(site.client(), entry.callers().address())
                    .changeZone(plan.zone(), plan.out(), operation);
        }
        recorder.record(new HistoryEvent.ZoneChanged(
                plan.zone(),
                plan.out(),
                sentNanos,
                result.version(),
                result.changed(),
                operation,
                recorder.nowNanos()));
        return result;
    }
}
