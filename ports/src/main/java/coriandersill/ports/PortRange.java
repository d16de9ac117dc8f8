package coriandersill.ports;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * The ports that a test or a soak gives to the processes that it starts: a range that no other such process on the
 * machine has, since its first port stays bound until the process ends. All ranges lie below the ephemeral ports, so
 * that neither an outgoing connection nor a listener on any free port takes a port before the process that was to have
 * it listens on it, or before its restart.
 *
 * <pre>{@code
 * int port = PortRange.ofThisProcess().freePort();
 * }</pre>
 */
public final class PortRange {
    private static final int MIN_PORT = 20_000;
    private static final int MAX_PORT = 32_000;
    private static final int PORTS_PER_RANGE = 200;

    private static PortRange ofThisProcess;

    private final int firstPort;

    /** Held until the process ends. */
    private final ServerSocket reservation;

    private int nextPort;

    private PortRange(int firstPort, ServerSocket reservation) {
        this.firstPort = firstPort;
        this.reservation = reservation;
        this.nextPort = firstPort + 1;
    }

    /**
     * Returns the range of this process, which it reserves first if it has none.
     *
     * @throws IOException if no range is free
     */
    public static synchronized PortRange ofThisProcess() throws IOException {
        if (ofThisProcess == null) {
            ofThisProcess = reserve();
        }
        return ofThisProcess;
    }

    /**
     * Reserves a range.
     *
     * @throws IOException if no range is free
     */
    static PortRange reserve() throws IOException {
        for (int port = MIN_PORT; port + PORTS_PER_RANGE <= MAX_PORT; port += PORTS_PER_RANGE) {
            try {
                return new PortRange(port, new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
            } catch (BindException inUse) {
                // Another test, or another program, has it; try the next range.
            }
        }
        throw new IOException(
                "ports of tests: expected a free range from " + MIN_PORT + " to " + MAX_PORT + ", found none");
    }

    /** The first port, which stays bound. */
    int firstPort() {
        return reservation.getLocalPort();
    }

    /**
     * Returns a port of the range that no program listens on now, in turn, so that one is not reused soon.
     *
     * @throws IOException if none is free
     */
    public synchronized int freePort() throws IOException {
        for (int tried = 0; tried < PORTS_PER_RANGE; tried++) {
            int candidate = nextPort;
            nextPort = candidate + 1 < firstPort + PORTS_PER_RANGE ? candidate + 1 : firstPort + 1;
            try (ServerSocket socket = new ServerSocket(candidate, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // Another program has it; try the next port.
            }
        }
        throw new IOException("ports of tests: expected a free one from " + (firstPort + 1) + ", found none");
    }
}
