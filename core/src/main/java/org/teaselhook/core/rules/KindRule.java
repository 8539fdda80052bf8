package org.teaselhook.core.rules;

import java.time.Duration;

/**
 * The rule of a kind of request of a service.
 *
 * @param service the service's name
 * @param kind the kind's name
 * @param idempotent whether a task that may have been started already may be started again
 * @param timeout the maximum time for which a caller may wait, which is also the default
 * @param declaredRunTime the run time assumed until run times have been observed
 */
public record KindRule(String service, String kind, boolean idempotent, Duration timeout, Duration declaredRunTime) {}
