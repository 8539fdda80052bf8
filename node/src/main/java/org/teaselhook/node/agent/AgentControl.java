package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.admission.Admission;
import org.teaselhook.core.admission.AdmissionDecision;
import org.teaselhook.core.admission.DispatchStatus;
import org.teaselhook.core.admission.StartConditions;
import org.teaselhook.core.admission.StartRequest;
import org.teaselhook.core.dispatch.RefusalReason;
import org.teaselhook.core.grant.SlotAllocator;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.HttpResult;
import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.AgentHeartbeat;
import org.teaselhook.wire.ConfigDocument;
import org.teaselhook.wire.Dispatch;
import org.teaselhook.wire.EntryFrame;
import org.teaselhook.wire.EntryHeartbeat;
import org.teaselhook.wire.EntryHello;
import org.teaselhook.wire.TargetOffer;
import org.teaselhook.wire.TaskResult;

/**
 * The agent's control state: admits or refuses dispatches, allocates slots to entries and retains results until they
 * are acknowledged. Confined to the control thread.
 */
final class AgentControl {

    static final long ENTRY_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final AgentIdentity agent;
    private final TaskRunner runner;
    private final AgentCallbacks callbacks;
    private final AgentMetrics metrics;
    private final Admission admission;
    private final SlotAllocator allocator;
    private final HeldDispatches heldDispatches;
    private final GrantSender grantSender;
    private final TargetTable targets = new TargetTable();
    private final Map<Incarnation, EntryState> entries = new HashMap<>();
    private final Map<EntryStream, Incarnation> streams = new HashMap<>();
    private Configuration configuration = Configuration.unknown();
    private boolean leaving;

    AgentControl(AgentIdentity agent, TaskRunner runner, AgentCallbacks callbacks, AgentMetrics metrics) {
        this.agent = agent;
        this.runner = runner;
        this.callbacks = callbacks;
        this.metrics = metrics;
        this.admission = Admission.of(agent.incarnation());
        this.allocator = SlotAllocator.of(agent.slots());
        this.heldDispatches = new HeldDispatches(allocator);
        this.grantSender = new GrantSender(allocator, heldDispatches, entries);
    }

    // -- accessors

    AgentFrame hello(long connection, long nowNanos) {
        return AgentFrames.hello(agent, connection, heartbeat(nowNanos));
    }

    AgentHeartbeat heartbeat(long nowNanos) {
        AgentHeartbeat.Builder state = AgentHeartbeat.newBuilder()
                .setAgentNanos(nowNanos)
                .setConfigVersion(configuration.version())
                .setLeaving(leaving)
                .setFreeSlots(agent.slots() - allocator.running())
                .setOpenSlots(allocator.openSlots());
        for (Target target : targets.all()) {
            state.addTargets(TargetOffer.newBuilder()
                    .setTarget(target.name())
                    .setService(target.service())
                    .setLeaving(!target.isAvailable()));
        }
        return state.build();
    }

    AgentStatus status() {
        return new AgentStatus(
                configuration.version(),
                configuration.rules().isZoneOut(agent.zone()),
                leaving,
                streams.size(),
                targets.anyAvailable(),
                allocator.running(),
                allocator.granted(),
                admission.startedCount());
    }

    // -- connections

    /** Processes an entry's hello, and returns the older stream to the same incarnation of the entry, if any. */
    Optional<EntryStream> helloReceived(EntryStream stream, EntryHello hello, AgentTime time) {
        Incarnation id = Incarnation.of(hello.getIncarnation());
        EntryState entry = entries.computeIfAbsent(id, ignored -> new EntryState(hello.getName()));
        Optional<EntryStream> older = entry.stream().filter(s -> s != stream);
        older.ifPresent(streams::remove);
        entry.connect(stream);
        streams.put(stream, id);
        heldDispatches.removeAll(id);
        allocator.connect(id);
        AgentLog.entryConnected(hello, id, entry.unacknowledgedResults().size());
        entry.unacknowledgedResults().forEach(result -> entry.send(AgentFrames.result(result, SlotUpdate.NONE)));
        hello.getInProgressList().forEach(dispatch -> resolveInProgress(id, entry, dispatch));
        heartbeatReceived(id, hello.getState(), time);
        return older;
    }

    /** Records that a stream has ended; returns false if no hello was received on it. */
    boolean streamEnded(EntryStream stream, long nowNanos) {
        Incarnation id = streams.remove(stream);
        if (id == null) {
            return false;
        }
        entries.get(id).disconnect(nowNanos);
        heldDispatches.removeAll(id);
        allocator.disconnect(id);
        allocateSlots(nowNanos);
        return true;
    }

    /** Sets whether the connection to an entry is being drained, that is, closed once no work of the entry is left. */
    void setDraining(EntryStream stream, boolean draining) {
        entries.get(streams.get(stream)).setDraining(draining);
    }

    /** Whether the entry on a stream has no running tasks, held dispatches or unacknowledged results. */
    boolean isDrained(EntryStream stream) {
        Incarnation id = streams.get(stream);
        return entries.get(id).isDrained() && !heldDispatches.isHolding(id);
    }

    private void resolveInProgress(Incarnation id, EntryState entry, long dispatch) {
        DispatchStatus status = admission.resolve(id, dispatch);
        if (status == DispatchStatus.NOT_STARTED) {
            recordRefusal(id, dispatch, RefusalReason.NEVER_ARRIVED);
            entry.send(AgentFrames.refusal(dispatch, RefusalReason.NEVER_ARRIVED, SlotUpdate.NONE));
        } else if (status == DispatchStatus.FORGOTTEN) {
            entry.send(AgentFrames.result(AgentFrames.unknownResult(dispatch), SlotUpdate.NONE));
        }
    }

    // -- frames

    void frameReceived(EntryStream stream, EntryFrame frame, AgentTime time) {
        Incarnation id = streams.get(stream);
        if (id == null) {
            return;
        }
        switch (frame.getFrameCase()) {
            case DISPATCH -> dispatchReceived(id, frame.getDispatch(), time);
            case ACK -> frame.getAck().getDispatchList().forEach(dispatch -> acknowledgementReceived(id, dispatch));
            case HEARTBEAT -> heartbeatReceived(id, frame.getHeartbeat(), time);
            case CONFIG -> configurationReceived(frame.getConfig(), time.nanos());
            case CONFIG_REQUEST -> entries.get(id).send(AgentFrames.config(configuration.document()));
            case CANCEL -> cancelReceived(id, frame.getCancel().getDispatch());
            case GRANT_RETURN -> {
                allocator.returnSlots(id, frame.getGrantReturn().getSlots());
                allocateSlots(time.nanos());
            }
            default -> AgentLog.frameIgnored(id, frame.getFrameCase());
        }
    }

    private void heartbeatReceived(Incarnation id, EntryHeartbeat heartbeat, AgentTime time) {
        allocator.setDemand(id, heartbeat.getWantedSlots());
        if (heartbeat.getLeaving()) {
            allocator.decline(id);
        }
        allocateSlots(time.nanos());
    }

    private void acknowledgementReceived(Incarnation id, long dispatch) {
        admission.acknowledge(id, dispatch);
        entries.get(id).acknowledge(dispatch);
    }

    private void configurationReceived(ConfigDocument document, long nowNanos) {
        Optional<Configuration> newer = configuration.parseIfNewer(document);
        if (newer.isEmpty()) {
            return;
        }
        configuration = newer.get();
        AgentLog.configuration(configuration.version(), configuration.rules().isZoneOut(agent.zone()));
        sendHeartbeats(nowNanos);
    }

    private void cancelReceived(Incarnation id, long dispatch) {
        if (admission.cancel(id, dispatch)) {
            heldDispatches.remove(id, dispatch);
            recordRefusal(id, dispatch, RefusalReason.CANCELLED);
            entries.get(id).send(AgentFrames.refusal(dispatch, RefusalReason.CANCELLED, SlotUpdate.NONE));
        }
    }

    // -- tasks

    private void dispatchReceived(Incarnation id, Dispatch task, AgentTime time) {
        boolean shouldHold = !task.getGranted() && allocator.free() == 0 && canStart() && allocator.canHold(id);
        if (shouldHold) {
            heldDispatches.hold(id, task, time);
            callbacks.scheduleExpiry(HeldDispatches.MAX_HOLD_NANOS);
            allocateSlots(time.nanos());
        } else {
            decide(id, task, task.getGranted(), time);
        }
    }

    /** Admits or refuses a dispatch at the time of start; returns false if it was decided on before. */
    private boolean decide(Incarnation id, Dispatch task, boolean granted, AgentTime time) {
        Optional<Target> target = targets.leastLoaded(task.getService());
        StartRequest request = new StartRequest(
                id,
                task.getDispatch(),
                new Incarnation(task.getAgentIncarnation()),
                task.getEchoAgentNanos(),
                task.getStartByAgentNanos(),
                task.getConfigVersion());
        StartConditions conditions = new StartConditions(
                configuration.version(),
                configuration.rules().isZoneOut(agent.zone()),
                leaving,
                target.isPresent(),
                allocator.available(id, granted));
        AdmissionDecision decision = admission.decide(request, conditions, time.nanos());
        if (decision instanceof AdmissionDecision.Start start) {
            allocator.start(id, granted);
            start(id, task, target.orElseThrow(), start.startByNanos(), time);
        } else if (decision instanceof AdmissionDecision.Refuse refuse) {
            refuse(id, task, granted, refuse.reason(), time.nanos());
        } else {
            AgentLog.duplicate(id, task.getDispatch());
            return false;
        }
        return true;
    }

    private void start(Incarnation id, Dispatch task, Target target, long startByNanos, AgentTime time) {
        entries.get(id).taskStarted();
        target.taskStarted();
        metrics.started();
        AgentLog.start(id, task, target, allocator.running());
        long timeoutMillis = Math.max(1, (task.getFinishByAgentNanos() - time.nanos()) / 1_000_000L);
        RunningTask running = new RunningTask(id, task, target, time.nanos());
        runner.run(target.address(), id, task, time.wallMillisOf(startByNanos), timeoutMillis)
                .thenAccept(result -> callbacks.taskFinished(running, result));
    }

    private void refuse(Incarnation id, Dispatch task, boolean granted, RefusalReason reason, long nowNanos) {
        if (granted) {
            allocator.refuse(id);
        }
        recordRefusal(id, task.getDispatch(), reason);
        entries.get(id).send(AgentFrames.refusal(task.getDispatch(), reason, allocateSlots(nowNanos, id)));
    }

    private void recordRefusal(Incarnation id, long dispatch, RefusalReason reason) {
        metrics.refused(reason);
        AgentLog.refusal(id, dispatch, reason);
    }

    /** Processes the end of a task. */
    void taskFinished(RunningTask running, HttpResult result, long nowNanos) {
        running.target().taskEnded();
        allocator.finish(running.entry());
        entries.get(running.entry()).taskEnded();
        Optional<RefusalReason> notStarted = running.notStartedReason(result);
        if (notStarted.isPresent()) {
            reportNotStarted(running, notStarted.get(), nowNanos);
        } else {
            reportResult(running, running.result(result, nowNanos), nowNanos);
        }
    }

    private void reportNotStarted(RunningTask running, RefusalReason reason, long nowNanos) {
        admission.withdraw(running.entry(), running.dispatch());
        recordRefusal(running.entry(), running.dispatch(), reason);
        if (reason == RefusalReason.CONNECT_FAILED) {
            running.target().markUnreachable();
            sendHeartbeats(nowNanos);
        }
        SlotUpdate slots = allocateSlots(nowNanos, running.entry());
        entries.get(running.entry()).send(AgentFrames.refusal(running.dispatch(), reason, slots));
    }

    private void reportResult(RunningTask running, TaskResult result, long nowNanos) {
        EntryState entry = entries.get(running.entry());
        metrics.finished(result.getStatus());
        AgentLog.result(running.entry(), result);
        entry.retain(result);
        entry.send(AgentFrames.result(result, allocateSlots(nowNanos, running.entry())));
    }

    // -- targets

    void announce(String name, String service, InetSocketAddress address, long nowNanos) {
        if (targets.announce(name, service, address, nowNanos)) {
            AgentLog.targetAvailable(name, service);
            sendHeartbeats(nowNanos);
        }
    }

    boolean withdraw(String name, long nowNanos) {
        boolean known = targets.withdraw(name);
        if (known) {
            AgentLog.targetLeaving(name);
            sendHeartbeats(nowNanos);
        }
        return known;
    }

    // -- timers and stopping

    void tick(long nowNanos) {
        if (targets.removeExpired(nowNanos)) {
            AgentLog.targetExpired();
            sendHeartbeats(nowNanos);
        }
        entries.forEach((id, entry) -> retireIfExpired(id, entry, nowNanos));
        entries.values().removeIf(entry -> entry.isExpired(nowNanos, ENTRY_RETENTION_NANOS));
        allocator.rebalance(nowNanos);
        allocateSlots(nowNanos);
    }

    private void retireIfExpired(Incarnation id, EntryState entry, long nowNanos) {
        if (entry.isExpired(nowNanos, ENTRY_RETENTION_NANOS)) {
            admission.retire(id);
            AgentLog.entryRetired(entry.name(), id);
        }
    }

    void leave(long nowNanos) {
        leaving = true;
        AgentLog.leaving(allocator.running());
        sendHeartbeats(nowNanos);
    }

    /** Whether no task is running, and every result has been acknowledged. */
    boolean isDrained() {
        return allocator.running() == 0
                && entries.values().stream()
                        .allMatch(entry -> entry.unacknowledgedResults().isEmpty());
    }

    boolean isIdle() {
        return allocator.running() == 0;
    }

    // -- slots

    private void sendHeartbeats(long nowNanos) {
        AgentHeartbeat state = heartbeat(nowNanos);
        entries.values().forEach(entry -> entry.send(AgentFrames.heartbeat(state, entry.isDraining())));
        allocateSlots(nowNanos);
    }

    private void allocateSlots(long nowNanos) {
        do {
            grantSender.sendGrants(canStart(), nowNanos);
        } while (decideOnReserved(nowNanos));
        decideOnExpired(nowNanos);
    }

    private SlotUpdate allocateSlots(long nowNanos, Incarnation recipient) {
        int granted = 0;
        do {
            granted += grantSender.sendGrantsExcept(recipient, canStart(), nowNanos);
        } while (decideOnReserved(nowNanos));
        decideOnExpired(nowNanos);
        return new SlotUpdate(granted, allocator.openSlots());
    }

    /** Decides on held dispatches for which a slot was reserved; returns false if there were none. */
    private boolean decideOnReserved(long nowNanos) {
        boolean decided = false;
        for (HeldDispatch dispatch : heldDispatches.takeReserved()) {
            decided = true;
            if (!decide(
                    dispatch.entry(), dispatch.task(), true, dispatch.arrival().at(nowNanos))) {
                allocator.refuse(dispatch.entry());
            }
        }
        return decided;
    }

    private void decideOnExpired(long nowNanos) {
        for (HeldDispatch dispatch : heldDispatches.takeExpired(canStart(), nowNanos)) {
            decide(dispatch.entry(), dispatch.task(), false, dispatch.arrival().at(nowNanos));
        }
    }

    /** Decides on dispatches that were held for the maximum time. */
    void expireHeld(long nowNanos) {
        allocateSlots(nowNanos);
    }

    private boolean canStart() {
        boolean zoneOut = configuration.rules().isZoneOut(agent.zone());
        return configuration.isKnown() && !zoneOut && !leaving && targets.anyAvailable();
    }
}
