import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The part of HTTP/1.1 that the stand-ins need: a server with a thread for each connection, and a client. */
final class Http {
    private Http() {}

    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String parameter(String name) {
            int query = target.indexOf('?');
            for (String pair : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return null;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    /** Handles one request; returns whether the connection is kept. */
    interface Handler {
        boolean handle(Request request, OutputStream out, Socket connection) throws IOException;
    }

    static final class Server implements Closeable {
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final InetSocketAddress address;
        private volatile ServerSocket socket;

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            this.address = new InetSocketAddress(InetAddress.getByName(host), port);
            open();
        }

        private void open() throws IOException {
            ServerSocket opened = new ServerSocket();
            opened.setReuseAddress(true);
            opened.bind(address, 1_024);
            socket = opened;
            Thread acceptor = new Thread(() -> accept(opened), "accept " + address);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept(ServerSocket opened) {
            while (!opened.isClosed()) {
                try {
                    Socket connection = opened.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    Thread thread = new Thread(() -> serve(connection), "connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                boolean kept = true;
                while (kept) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    kept = handler.handle(request, connection.getOutputStream(), connection);
                }
            } catch (IOException | RuntimeException broken) {
                // The peer has gone, or the server was ended.
            } finally {
                connections.remove(connection);
            }
        }

        int port() {
            return socket.getLocalPort();
        }

        /** Ends as a killed process does: nothing listens any more, and all connections are reset. */
        void crash() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                try {
                    connection.setSoLinger(true, 0);
                    connection.close();
                } catch (IOException closed) {
                    // It has just ended by itself.
                }
            }
        }

        /** Listens again at the same address. */
        void restart() throws IOException {
            open();
        }

        @Override
        public void close() throws IOException {
            crash();
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        return new Request(words[0], words[1], headers, readBody(in, headers, false));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        while (b >= 0 && b != '\n') {
            if (b != '\r') {
                line.write(b);
            }
            b = in.read();
        }
        if (b < 0) {
            throw new EOFException("inside a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers, boolean untilEnd) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("inside a chunked body");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        if (headers.containsKey("Content-Length")) {
            return readExactly(in, Integer.parseInt(headers.get("Content-Length")));
        }
        return untilEnd ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("inside a body");
        }
        return bytes;
    }

    static void respond(OutputStream out, int status, String headerLines, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " S\r\n" + headerLines + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    /** An answer; {@code status} is 0 if there was none, and {@code whole} tells whether its body ended properly. */
    record Answer(int status, Map<String, String> headers, String body, boolean whole, String detail) {}

    /** Sends one request on a connection of its own. */
    static Answer send(String host, int port, String request, int timeoutMillis) {
        try (Socket connection = new Socket()) {
            connection.connect(new InetSocketAddress(host, port), 1_000);
            connection.setTcpNoDelay(true);
            connection.setSoTimeout(timeoutMillis);
            connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(connection.getInputStream());
            String line = readLine(in);
            if (line == null) {
                return new Answer(0, Map.of(), "", false, "connection closed");
            }
            int status = Integer.parseInt(line.split(" ")[1]);
            Map<String, String> headers = readHeaders(in);
            try {
                byte[] body = readBody(in, headers, true);
                return new Answer(status, headers, new String(body, StandardCharsets.ISO_8859_1), true, "");
            } catch (IOException broken) {
                return new Answer(status, headers, "", false, "body: " + broken.getMessage());
            }
        } catch (IOException failed) {
            return new Answer(0, Map.of(), "", false, String.valueOf(failed.getMessage()));
        }
    }
}
