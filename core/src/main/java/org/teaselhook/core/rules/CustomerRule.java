package org.teaselhook.core.rules;

/**
 * The rule of a customer: its share of capacity and its quota.
 *
 * @param customer the customer's name
 * @param weight the weight of the customer in the fair sharing of contended slots, at least 1
 * @param maxTasks the maximum number of queued and running tasks at one entry
 */
public record CustomerRule(String customer, int weight, int maxTasks) {}
