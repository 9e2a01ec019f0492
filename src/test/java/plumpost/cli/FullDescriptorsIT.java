package plumpost.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import plumpost.Scenario;

/** Tests a process at its descriptor limit, while idle clients open as many connections as they can. */
class FullDescriptorsIT {
    private static final int DESCRIPTORS = 256;
    private static final int IDLE_CLIENTS = 400;

    @TempDir
    private Path folder;

    /** A stub server with a thread for each connection. */
    private static final class StubServer implements Closeable {
        private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

        interface Responder {
            void respond(Socket client) throws IOException;
        }

        StubServer(Responder responder) throws IOException {
            Thread acceptor = new Thread(() -> {
                while (!socket.isClosed()) {
                    try {
                        Socket client = socket.accept();
                        Thread handler = new Thread(() -> serve(responder, client));
                        handler.setDaemon(true);
                        handler.start();
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private static void serve(Responder responder, Socket client) {
            try {
                responder.respond(client);
            } catch (IOException e) {
                // The scheduler may close its end at any time.
                return;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static String readOnce(Socket socket) throws IOException {
        byte[] bytes = new byte[4096];
        int length = socket.getInputStream().read(bytes);
        return length < 0 ? "" : new String(bytes, 0, length, StandardCharsets.US_ASCII);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String ask(int port, String request) throws IOException {
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(10_000);
            write(client, request);
            return readOnce(client);
        }
    }

    private static int port(String ready, String front) {
        return Integer.parseInt(ready.replaceAll(".* " + front + " /127.0.0.1:([0-9]+).*", "$1"));
    }

    /** Idle clients leave enough descriptors for the request to discovery, an attempt and an operator's call. */
    @Test
    @Timeout(90)
    void idleClientsLeaveDescriptorsForEverythingElse() throws Exception {
        CountDownLatch calledWhileFull = new CountDownLatch(3);
        CountDownLatch full = new CountDownLatch(1);
        CountDownLatch discoveryUp = new CountDownLatch(1);
        CountDownLatch listSent = new CountDownLatch(1);
        StubServer node = new StubServer(connection -> {
            readOnce(connection);
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: 46\r\n\r\n{\"id\":\"job\",\"state\":\"done\",\"result\":\"washed\"}\n");
            readOnce(connection);
        });
        String host = "{\"host\":\"n1\",\"dial\":\"127.0.0.1:" + node.socket.getLocalPort()
                + "\",\"site\":\"p\",\"class\":\"k\",\"health\":\"up\",\"share\":1.0,\"born_ms\":0}";
        StubServer discovery = new StubServer(connection -> {
            readOnce(connection);
            if (full.getCount() == 0) {
                calledWhileFull.countDown();
            }
            if (discoveryUp.getCount() > 0) {
                connection.close(); // discovery is down
                return;
            }
            String list = "{\"seq\":2,\"whole\":true,\"hosts\":[" + host + "]}\n";
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
                            + "\r\n" + list + "\r\n");
            listSent.countDown();
            readOnce(connection);
        });
        Path file = Files.writeString(
                folder.resolve("c.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\","
                        + "\"ops\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discovery.socket.getLocalPort()
                        + "\",\"limits\":"
                        + "{\"sockets\":" + DESCRIPTORS
                        + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[]},\"settings\":"
                        + Scenario.SETTINGS + "}");
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "ulimit -n " + DESCRIPTORS + "; exec java -jar target/plumpost.jar serve --config \"$0\"",
                file.toString());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        List<Socket> idle = new ArrayList<>();
        try (node;
                discovery;
                BufferedReader log = process.errorReader()) {
            String ready =
                    log.lines().filter(l -> l.contains("ready,")).findFirst().orElseThrow();
            for (int i = 0; i < IDLE_CLIENTS; i++) {
                Socket client = new Socket("127.0.0.1", port(ready, "http"));
                idle.add(client);
                write(client, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n");
            }
            full.countDown();
            assertThat(calledWhileFull.await(20, TimeUnit.SECONDS))
                    .as("calls for the list while clients hold all")
                    .isTrue();
            String countersCall = "GET /control/counters HTTP/1.1\r\nHost: h\r\n\r\n";
            assertThat(ask(port(ready, "control"), countersCall)).startsWith("HTTP/1.1 200 ");
            discoveryUp.countDown();
            assertThat(listSent.await(20, TimeUnit.SECONDS))
                    .as("the list was told")
                    .isTrue();
            assertThat(ask(
                            port(ready, "http"),
                            "POST /route-plan HTTP/1.1\r\nHost: h\r\nX-Txn: job\r\nContent-Length: 1\r\n\r\nx"))
                    .startsWith("HTTP/1.1 200 ")
                    .endsWith("washed");
            assertThat(ask(port(ready, "control"), countersCall)).startsWith("HTTP/1.1 200 ");
        } finally {
            process.destroyForcibly();
            for (Socket client : idle) {
                client.close();
            }
        }
    }
}
