package org.teaselhook.core.rules;

/**
 * A customer's share.
 *
 * @param customer the customer's name
 * @param weight the share of contended slots relative to other customers, at least 1
 * @param maxTasks the greatest number of tasks queued and running at one entry at once
 */
public record CustomerRule(String customer, int weight, int maxTasks) {}
