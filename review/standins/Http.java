import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A received request; header names are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String parameter(String name, String defaultValue) {
            int query = target.indexOf('?');
            if (query >= 0) {
                for (String pair : target.substring(query + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return defaultValue;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A response as a client received it; {@code end} tells how it ended. */
    record Response(int status, Map<String, String> headers, byte[] body, String end) {
        boolean complete() {
            return end.equals("complete");
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a request; returns null if the connection ends before one starts. */
    static Request readRequest(BufferedInputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ", 3);
        Map<String, String> headers = readHeaders(in);
        return new Request(words[0], words[1], headers, readBody(in, headers));
    }

    private static byte[] readBody(BufferedInputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (readChunk(in, body)) {
                // Reads until the last chunk.
            }
            return body.toByteArray();
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0").trim());
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("body");
        }
        return body;
    }

    /** Reads one chunk; returns false after the last one. */
    static boolean readChunk(InputStream in, ByteArrayOutputStream body) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("chunk");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        byte[] data = in.readNBytes(length);
        if (data.length < length) {
            throw new EOFException("chunk");
        }
        body.write(data);
        if (readLine(in) == null) {
            throw new EOFException("chunk");
        }
        return length > 0;
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("headers");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Returns null at the end of the connection. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason(status) + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 404 -> "Not Found";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 421 -> "Misdirected Request";
            case 503 -> "Service Unavailable";
            default -> "Status";
        };
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
