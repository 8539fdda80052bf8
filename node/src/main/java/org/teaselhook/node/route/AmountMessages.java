package org.teaselhook.node.route;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.wire.AmountsMessage;

/**
 * Conversion between amounts of resources and their messages.
 */
public final class AmountMessages {

    private AmountMessages() {}

    /**
     * Converts amounts to a message.
     *
     * @param amounts the amounts
     * @return the message
     */
    public static AmountsMessage toMessage(ResourceAmounts amounts) {
        return AmountsMessage.newBuilder()
                .setCpuMillis(amounts.cpuMillis())
                .setMemoryMb(amounts.memoryMb())
                .setGpus(amounts.gpus())
                .build();
    }

    /**
     * Converts a message to amounts.
     *
     * @param message the message
     * @return the amounts
     */
    public static ResourceAmounts fromMessage(AmountsMessage message) {
        return ResourceAmounts.of(message.getCpuMillis(), message.getMemoryMb(), message.getGpus());
    }
}
