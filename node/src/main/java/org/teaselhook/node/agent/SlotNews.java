package org.teaselhook.node.agent;

/**
 * What an agent tells an entry about its slots along with another message.
 *
 * @param granted slots added to the entry's balance
 * @param open slots that the agent could give to an order without a grant
 */
record SlotNews(int granted, int open) {

    static final SlotNews NONE = new SlotNews(0, 0);
}
