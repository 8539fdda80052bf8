package org.teaselhook.net.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;

/**
 * Closes a connection after its last reply so that the caller can read that reply while it still sends: the output ends
 * at once, and what arrives is read and dropped until the caller closes, for a bounded time. A socket that is closed
 * with unread bytes is reset instead, and the reset may overtake the reply (RFC 9112, section 9.6).
 */
final class LingeringClose implements ChannelFutureListener {

    static final long LINGER_MILLIS = 2_000;

    static final LingeringClose INSTANCE = new LingeringClose();

    private LingeringClose() {}

    @Override
    public void operationComplete(ChannelFuture written) {
        Channel channel = written.channel();
        if (!written.isSuccess() || !(channel instanceof DuplexChannel)) {
            channel.close();
            return;
        }
        channel.config().setAutoRead(true);
        ((DuplexChannel) channel).shutdownOutput();
        channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }
}
