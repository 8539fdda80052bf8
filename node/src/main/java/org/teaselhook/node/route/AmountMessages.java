package org.teaselhook.node.route;

import org.teaselhook.core.amount.Amounts;
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
    public static AmountsMessage message(Amounts amounts) {
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
    public static Amounts amounts(AmountsMessage message) {
        return Amounts.of(message.getCpuMillis(), message.getMemoryMb(), message.getGpus());
    }
}
