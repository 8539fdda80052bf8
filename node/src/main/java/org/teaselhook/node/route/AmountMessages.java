package org.teaselhook.node.route;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.wire.AmountsMessage;

/**
 * Amounts as messages.
 */
public final class AmountMessages {

    private AmountMessages() {}

    /**
     * Writes amounts.
     *
     * @param amounts the amounts
     * @return the message
     */
    public static AmountsMessage message(ResourceAmounts amounts) {
        return AmountsMessage.newBuilder()
                .setCpuMillis(amounts.cpuMillis())
                .setMemoryMb(amounts.memoryMb())
                .setGpus(amounts.gpus())
                .build();
    }

    /**
     * Reads amounts.
     *
     * @param message the message
     * @return the amounts
     */
    public static ResourceAmounts amounts(AmountsMessage message) {
        return ResourceAmounts.of(message.getCpuMillis(), message.getMemoryMb(), message.getGpus());
    }
}
