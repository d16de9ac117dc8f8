import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Clients that send requests at a steady rate, each on a new connection, and do not retry. */
final class Clients implements AutoCloseable {
    /** What was sent; {@code parts} is the prompt prefix, empty for plain requests. */
    record Call(String id, String path, String parts, double sentAtSeconds, Http.Answer answer) {
        /** Whether the answer is a success of a worker, whole, with its signature. */
        boolean served() {
            return answer.status() >= 200
                    && answer.status() < 300
                    && answer.whole()
                    && answer.headers().containsKey("X-Coriandersill-Server-Signature");
        }
    }

    private final Deployment deployment;
    private final Random random;
    private final ExecutorService pool = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        return thread;
    });
    private final AtomicInteger number = new AtomicInteger();
    private final List<Call> calls = new CopyOnWriteArrayList<>();

    Clients(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    List<Call> calls() {
        return calls;
    }

    List<Call> calls(Predicate<Call> filter) {
        return calls.stream().filter(filter).toList();
    }

    /** Sends a plain request at random to the idempotent and the other route, as often as the sheet says. */
    void sendPlain() {
        boolean peek = random.nextInt(256) < 73;
        String id = nextId();
        send(id, (peek ? "GET /peek/" : "POST /post/") + id, "", 1_000, "");
    }

    /** Sends a generation; the last part is its own. */
    String sendGeneration(String sharedParts, int outputTokens) {
        String id = nextId();
        String parts = sharedParts + ",f" + id.substring(1) + ":400";
        send(id, "POST /notes/" + id, parts, 39_000, "X-Coriandersill-Model: m\r\nX-Coriandersill-Token-Usage: 3000,"
                + outputTokens + "\r\nX-Coriandersill-Prompt-Prefix: " + parts + "\r\n");
        return id;
    }

    private String nextId() {
        return String.format("c%015x", number.incrementAndGet());
    }

    private void send(String id, String line, String parts, int deadlineMillis, String moreHeaders) {
        Entry entry;
        synchronized (random) {
            entry = deployment.balancer.choose(random);
        }
        String request = line + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Coriandersill-Attempt-Id: " + id
                + "\r\nX-Coriandersill-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + Deployment.KEY
                + "\r\n" + moreHeaders + (line.startsWith("POST") ? "Content-Length: 2\r\n\r\n{}" : "\r\n");
        double sentAt = deployment.recorder.seconds();
        deployment.recorder.line("send", id + " " + line.split(" ")[1] + " to " + entry.name() + " " + parts);
        pool.execute(() -> {
            Http.Answer answer = Http.send(entry.host(), entry.port(), request, deadlineMillis + 500);
            deployment.recorder.line(
                    "answer",
                    id + " " + answer.status() + (answer.whole() ? "" : " not whole: " + answer.detail()) + " "
                            + (answer.status() == 200 ? "" : answer.body().trim()));
            calls.add(new Call(id, line.split(" ")[1], parts, sentAt, answer));
        });
    }

    /** Sends plain requests at a rate for some seconds. */
    void sendPlainFor(double seconds, double perSecond) throws InterruptedException {
        double end = deployment.recorder.seconds() + seconds;
        while (deployment.recorder.seconds() < end) {
            sendPlain();
            Thread.sleep((long) (1_000 / perSecond));
        }
    }

    /** Sends plain requests at a rate until the returned task is interrupted. */
    Thread sendPlainBeside(double perSecond) {
        Thread thread = new Thread(() -> {
            try {
                sendPlainFor(Double.MAX_VALUE / 2, perSecond);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public void close() {
        pool.shutdownNow();
    }
}
