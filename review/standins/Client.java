import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A client that sends one request on a connection of its own. */
final class Client {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private Client() {}

    /** Returns the id of a new attempt. */
    static String newId() {
        return String.format(Locale.ROOT, "%016x", IDS.incrementAndGet());
    }

    static int readiness(int port) {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(CONNECT_TIMEOUT_MILLIS);
            socket.getOutputStream().write(Http.bytes("GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"));
            String first = Http.readLine(socket.getInputStream());
            return first == null ? 0 : Integer.parseInt(first.split(" ")[1]);
        } catch (IOException notListening) {
            return 0;
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName(Rig.HOST), port), CONNECT_TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns the bytes of a request. */
    static byte[] request(
            String method, String host, String path, String id, String key, long deadlineMillis, String more, String body) {
        return Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Coriandersill-Attempt-Id: " + id
                + "\r\nX-Coriandersill-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + key + "\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + Http.bytes(body).length + "\r\n") + "\r\n"
                + (method.equals("GET") ? "" : body));
    }

    /** Sends a request and reads the response; status 0 if there is none. */
    static Http.Response send(int port, byte[] request, long timeoutMillis) {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout((int) timeoutMillis);
            socket.getOutputStream().write(request);
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (SocketTimeoutException late) {
            return new Http.Response(0, Map.of(), new byte[0], "no response in time");
        } catch (IOException broken) {
            return new Http.Response(0, Map.of(), new byte[0], "connection failed: " + broken.getMessage());
        }
    }

    /** Reads a response; what was received of its body counts even if it is incomplete. */
    static Http.Response read(InputStream in) throws IOException {
        String first = Http.readLine(in);
        if (first == null) {
            return new Http.Response(0, Map.of(), new byte[0], "connection closed without a response");
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = Http.readHeaders(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String end;
        try {
            if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
                while (Http.readChunk(in, body)) {
                    // Reads until the last chunk.
                }
                end = "complete";
            } else {
                long left = Long.parseLong(headers.getOrDefault("content-length", "0"));
                byte[] part = new byte[8192];
                while (left > 0) {
                    int count = in.read(part, 0, (int) Math.min(left, part.length));
                    if (count < 0) {
                        break;
                    }
                    body.write(part, 0, count);
                    left -= count;
                }
                end = left == 0 ? "complete" : "closed " + left + " bytes before its end";
            }
        } catch (IOException | NumberFormatException broken) {
            end = "broken off: " + broken;
        }
        return new Http.Response(status, headers, body.toByteArray(), end);
    }
}
