package coriandersill.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes on connections to a loopback port, and their ends at once. {@link #close} refuses new connections before it
 * closes the open ones, as the end of a process does; a server of Vert.x does it the other way round.
 */
final class DirectLink implements AutoCloseable {
    private static final int BACKLOG = 256;

    private final ServerSocket listener;
    private final int targetPort;
    private final Thread acceptor;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    private DirectLink(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        this.acceptor = startThread(this::acceptUntilClosed);
    }

    static DirectLink to(int targetPort) throws IOException {
        return new DirectLink(targetPort);
    }

    int port() {
        return listener.getLocalPort();
    }

    private void acceptUntilClosed() {
        try {
            while (true) {
                Socket client = listener.accept();
                startThread(() -> connect(client));
            }
        } catch (IOException closed) {
            // No more connections.
        }
    }

    private void connect(Socket client) {
        openSockets.add(client);
        try {
            Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            openSockets.add(target);
            client.setTcpNoDelay(true);
            target.setTcpNoDelay(true);
            startThread(() -> forward(target, client));
            forward(client, target);
        } catch (IOException refused) {
            close(client);
        }
    }

    private void forward(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException closed) {
            // The other direction ends too.
        } finally {
            close(to);
            close(from);
        }
    }

    private void close(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException("cannot close a connection", e);
        }
    }

    private static Thread startThread(Runnable work) {
        Thread thread = new Thread(work, "soak-link");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() {
        try {
            listener.close();
            // The system listens until the thread that waits for a connection has left its call.
            acceptor.join();
        } catch (IOException e) {
            throw new IllegalStateException("cannot close a listener", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        openSockets.forEach(this::close);
    }
}
