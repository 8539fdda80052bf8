package org.teaselhook.net.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;

/**
 * Closes a connection after its last reply so that a caller that is still sending can read the reply: shuts the output
 * down at once, then reads and discards input until the caller closes or the linger time is over. Closing a socket with
 * unread input would reset the connection, and the reset may overtake the reply (RFC 9112, section 9.6).
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
