package org.teaselhook.node.job;

import java.util.Objects;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.session.SessionStreams;
import org.teaselhook.wire.EntryServiceGrpc;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/**
 * Hands what agents send to the control thread.
 */
final class JobEntryGrpc extends EntryServiceGrpc.EntryServiceImplBase {

    private final ControlLoop control;
    private final RunSessions sessions;

    JobEntryGrpc(ControlLoop control, RunSessions sessions) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
    }

    @Override
    public StreamObserver<RunReport> runs(StreamObserver<RunCommand> stream) {
        return new Reports(stream);
    }

    private final class Reports implements StreamObserver<RunReport> {

        private final StreamObserver<RunCommand> stream;
        private volatile Incarnation agent;

        Reports(StreamObserver<RunCommand> stream) {
            this.stream = stream;
        }

        @Override
        public void onNext(RunReport report) {
            if (report.hasHello() && agent == null && report.getHello().getIncarnation() != 0) {
                agent = Incarnation.of(report.getHello().getIncarnation());
                control.execute(() -> sessions.connected(control.nowNanos(), stream, report.getHello()));
            } else if (agent != null) {
                Incarnation sender = agent;
                control.execute(() -> sessions.received(control.nowNanos(), sender, stream, report));
            }
        }

        @Override
        public void onError(Throwable failure) {
            ended();
        }

        @Override
        public void onCompleted() {
            ended();
        }

        private void ended() {
            Incarnation sender = agent;
            if (sender != null) {
                control.execute(() -> sessions.disconnected(control.nowNanos(), sender, stream));
            }
            SessionStreams.close(stream);
        }
    }
}
