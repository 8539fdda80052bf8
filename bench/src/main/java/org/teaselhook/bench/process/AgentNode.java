package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An agent process and its target, which runs in this JVM.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http the agent's HTTP address, at which its target registers
 * @param target the agent's target
 */
public record AgentNode(ProcessNode process, String zone, InetSocketAddress http, TargetNode target) {}
