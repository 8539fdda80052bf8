package org.teaselhook.node.entry;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.grpc.stub.StreamObserver;
import org.teaselhook.core.dispatch.AgentInfo;
import org.teaselhook.core.dispatch.AgentState;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.session.ConnectedAgent;
import org.teaselhook.wire.AgentsReply;
import org.teaselhook.wire.AgentsRequest;
import org.teaselhook.wire.EntryServiceGrpc;

/**
 * Queries the agents that are connected to another entry, and answers such queries.
 */
final class PeerAgents {

    private static final long TIMEOUT_MILLIS = 1_000;

    private PeerAgents() {}

    /** Returns the agents connected to an entry; an empty list if it does not respond in time. */
    static CompletionStage<List<ConnectedAgent>> fetch(EntryServiceGrpc.EntryServiceStub entry) {
        CompletableFuture<List<ConnectedAgent>> agents = new CompletableFuture<>();
        entry.withDeadlineAfter(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .agents(AgentsRequest.getDefaultInstance(), new StreamObserver<>() {
                    @Override
                    public void onNext(AgentsReply reply) {
                        agents.complete(reply.getAgentsList().stream()
                                .map(PeerAgents::agent)
                                .toList());
                    }

                    @Override
                    public void onError(Throwable failure) {
                        agents.complete(List.of());
                    }

                    @Override
                    public void onCompleted() {
                        agents.complete(List.of());
                    }
                });
        return agents;
    }

    static AgentsReply reply(Iterable<ConnectedAgent> agents) {
        AgentsReply.Builder reply = AgentsReply.newBuilder();
        agents.forEach(agent -> reply.addAgents(frame(agent)));
        return reply.build();
    }

    private static org.teaselhook.wire.ConnectedAgent frame(ConnectedAgent agent) {
        return org.teaselhook.wire.ConnectedAgent.newBuilder()
                .setName(agent.info().name())
                .setIncarnation(agent.info().incarnation().value())
                .setZone(agent.info().zone())
                .setSlots(agent.info().slots())
                .setConfigVersion(agent.state().configVersion())
                .setLeaving(agent.state().leaving())
                .build();
    }

    private static ConnectedAgent agent(org.teaselhook.wire.ConnectedAgent frame) {
        AgentInfo info = new AgentInfo(
                Incarnation.of(frame.getIncarnation()), frame.getName(), frame.getZone(), "", frame.getSlots());
        return new ConnectedAgent(info, new AgentState(Set.of(), frame.getLeaving(), frame.getConfigVersion(), 0));
    }
}
