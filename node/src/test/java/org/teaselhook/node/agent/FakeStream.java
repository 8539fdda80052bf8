package org.teaselhook.node.agent;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.teaselhook.wire.AgentFrame;
import org.teaselhook.wire.TaskRefusal;
import org.teaselhook.wire.TaskResult;

/** A stream that records the frames sent on it. */
final class FakeStream implements EntryStream {

    private final InetSocketAddress address;
    private final List<AgentFrame> sent = new ArrayList<>();
    private boolean closed;

    FakeStream(InetSocketAddress address) {
        this.address = address;
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    @Override
    public void send(AgentFrame frame) {
        if (!closed) {
            sent.add(frame);
        }
    }

    @Override
    public void finish() {
        closed = true;
    }

    @Override
    public void abort() {
        closed = true;
    }

    boolean closed() {
        return closed;
    }

    List<TaskRefusal> refusals() {
        return frames().filter(AgentFrame::hasRefusal)
                .map(AgentFrame::getRefusal)
                .toList();
    }

    List<TaskResult> results() {
        return frames().filter(AgentFrame::hasResult).map(AgentFrame::getResult).toList();
    }

    int granted() {
        return frames().mapToInt(FakeStream::granted).sum();
    }

    Stream<AgentFrame> frames() {
        return sent.stream();
    }

    private static int granted(AgentFrame frame) {
        return frame.getGrant().getSlots()
                + frame.getResult().getGrantedSlots()
                + frame.getRefusal().getGrantedSlots();
    }
}
