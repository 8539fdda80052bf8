package org.teaselhook.bench.process;

import java.net.InetSocketAddress;

/**
 * An agent as a process.
 *
 * @param process the process
 * @param zone the availability zone
 * @param http where its target announces itself and health is served
 */
public record AgentNode(ProcessNode process, String zone, InetSocketAddress http) {}
