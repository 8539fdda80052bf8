package org.teaselhook.net.http;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;

/**
 * Converts between Netty's messages and those of this package.
 */
final class NettyMessages {

    private NettyMessages() {}

    static HttpCall call(FullHttpRequest request, CompletionStage<Void> callerDisconnected, long receivedAt) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        return new HttpCall(
                request.method().name(),
                uri.path(),
                lastValues(uri.parameters()),
                headers(request.headers()),
                ByteBufUtil.getBytes(request.content()),
                callerDisconnected,
                receivedAt);
    }

    static HttpReply reply(FullHttpResponse response) {
        return new HttpReply(
                response.status().code(), headers(response.headers()), ByteBufUtil.getBytes(response.content()));
    }

    static FullHttpRequest request(String host, HttpCall call) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                uri(call),
                Unpooled.wrappedBuffer(call.body()));
        call.headers().forEach(request.headers()::set);
        request.headers().set(HttpHeaderNames.HOST, host).setInt(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        return request;
    }

    static FullHttpResponse response(HttpReply reply, boolean close) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(reply.body()));
        reply.headers().forEach(response.headers()::set);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    private static String uri(HttpCall call) {
        QueryStringEncoder encoder = new QueryStringEncoder(call.path());
        call.query().forEach(encoder::addParam);
        return encoder.toString();
    }

    private static Map<String, String> lastValues(Map<String, List<String>> parameters) {
        Map<String, String> result = new HashMap<>();
        parameters.forEach((name, values) -> result.put(name, values.get(values.size() - 1)));
        return result;
    }

    private static Map<String, String> headers(HttpHeaders headers) {
        Map<String, String> result = new HashMap<>();
        headers.forEach(e -> result.put(e.getKey().toLowerCase(java.util.Locale.ROOT), e.getValue()));
        return result;
    }
}
