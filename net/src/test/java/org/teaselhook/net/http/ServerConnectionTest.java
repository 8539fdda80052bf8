package org.teaselhook.net.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Sends bytes that no well-behaved client would send. */
public class ServerConnectionTest {

    private static final int SOCKET_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BODY_BYTES = 1_000;
    private static final int LARGE_BODY_BYTES = 16 << 20;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d+)");

    private HttpServer server;

    @BeforeMethod
    public void start() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(address, call -> delayedReply(), HttpLimits.of(MAX_BODY_BYTES, 10, 60_000));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
    }

    private static CompletionStage<HttpReply> delayedReply() {
        return CompletableFuture.supplyAsync(
                () -> HttpReply.of(200, "text/plain", "late"),
                CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS));
    }

    // -- requests

    @Test
    public void shouldLetCallerReadRefusalAfterSendingWholeBody() throws IOException {
        try (Socket socket = connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(ascii("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: " + LARGE_BODY_BYTES + "\r\n\r\n"));
            out.write(new byte[LARGE_BODY_BYTES]);
            out.flush();

            assertEquals(statuses(socket), List.of("413"));
        }
    }

    @DataProvider
    public Object[][] unreadable() {
        return new Object[][] {
            {"this is no HTTP\r\n\r\n", "400"},
            {"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: " + (MAX_BODY_BYTES + 1) + "\r\n\r\n", "413"},
        };
    }

    @Test(dataProvider = "unreadable")
    public void shouldAnswerEarlierRequestsBeforeRefusingUnreadableOne(String unreadable, String status)
            throws IOException {
        try (Socket socket = connect()) {
            String validRequest = "GET /%d HTTP/1.1\r\nhost: x\r\n\r\n";
            socket.getOutputStream().write(ascii(validRequest.formatted(1) + validRequest.formatted(2) + unreadable));

            assertEquals(statuses(socket), List.of("200", "200", status));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads the status codes of all responses until the server closes the connection. */
    private static List<String> statuses(Socket socket) throws IOException {
        String replies = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return STATUS.matcher(replies).results().map(match -> match.group(1)).collect(Collectors.toList());
    }
}
