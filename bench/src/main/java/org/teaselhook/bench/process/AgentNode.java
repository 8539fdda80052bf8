package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An agent as a process, with its target in this JVM.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http its HTTP address, where its target announces itself
 * @param target the target beside it
 */
public record AgentNode(ProcessNode process, String zone, InetSocketAddress http, TargetNode target) {}
