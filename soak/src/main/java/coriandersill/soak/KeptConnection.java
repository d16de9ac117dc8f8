package coriandersill.soak;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A connection over which calls are sent one after the other, until either side closes it. */
final class KeptConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int CHUNK_SIZE_RADIX = 16;

    private final Socket socket = new Socket();
    private final InputStream input;

    /** What arrived of the response to the last request. */
    private final StringBuilder body = new StringBuilder();

    private int status;
    private boolean closeAnnounced;

    private KeptConnection(int port, int readTimeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
        socket.setSoTimeout(readTimeoutMillis);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static KeptConnection open(int port, int readTimeoutMillis) throws IOException {
        return new KeptConnection(port, readTimeoutMillis);
    }

    /** Sends a whole request. */
    void send(String request) throws IOException {
        body.setLength(0);
        status = 0;
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /**
     * Reads the response to the request.
     *
     * @throws IOException if the connection ends before the response does
     */
    void receive() throws IOException {
        String[] statusLine = readLine().split(" ", 3);
        status = Integer.parseInt(statusLine[1]);
        int length = 0;
        boolean chunked = false;
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            String header = line.toLowerCase(Locale.ROOT).replace(" ", "");
            closeAnnounced |= header.equals("connection:close");
            chunked |= header.equals("transfer-encoding:chunked");
            if (header.startsWith("content-length:")) {
                length = Integer.parseInt(header.substring("content-length:".length()));
            }
        }
        if (!chunked) {
            readBody(length);
            return;
        }
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            readBody(size);
            readLine();
        }
        readLine();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().trim(), CHUNK_SIZE_RADIX);
    }

    private void readBody(int length) throws IOException {
        for (int i = 0; i < length; i++) {
            body.append((char) readByte());
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = readByte(); next != '\n'; next = readByte()) {
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private int readByte() throws IOException {
        int next = input.read();
        if (next < 0) {
            throw new EOFException("connection closed");
        }
        return next;
    }

    /** The status of the last response; 0 if none arrived. */
    int status() {
        return status;
    }

    /** What arrived of the body of the last response. */
    String body() {
        return body.toString();
    }

    /** Whether the entry has said that it closes the connection after the last response. */
    boolean isCloseAnnounced() {
        return closeAnnounced;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
