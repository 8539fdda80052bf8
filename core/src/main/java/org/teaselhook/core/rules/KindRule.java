package org.teaselhook.core.rules;

import java.time.Duration;

/**
 * How requests of one kind of a service are handled.
 *
 * @param service the service's name
 * @param kind the kind's name
 * @param idempotent whether a task may be started again after a possible start
 * @param timeout the greatest time a caller may wait, and the default
 * @param declaredRunTime the run time expected before any was observed
 */
public record KindRule(String service, String kind, boolean idempotent, Duration timeout, Duration declaredRunTime) {}
