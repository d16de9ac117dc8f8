import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** ORDER: a stream that a faulty worker ends inside an event reaches its client as a complete one. */
final class TruncatedStreamCase implements Review.Case {
    private static final int WORKERS = 6;
    private static final int OUTPUT_TOKENS = 80;
    private static final int EVENTS = OUTPUT_TOKENS / 4;
    private static final int TRUNCATED_INTERVAL = 20;
    private static final int SECONDS = 40;
    private static final double PER_SECOND = 5.82;

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        Worker.Kind engine = new Worker.Kind(Deployment.MODEL_SERVICE, "v1", 64, 0, 0, true);
        try (Deployment deployment = new Deployment(root, recorder, Deployment.Site.SILVERBEND_OPS, 3);
                Clients clients = new Clients(deployment, 11)) {
            for (int i = 0; i < WORKERS; i++) {
                Worker worker = deployment.addWorker(engine, i, (running, request) -> {}, Set.of(), 0);
                if (trouble && i < WORKERS / 2) {
                    worker.truncateOneOf(TRUNCATED_INTERVAL);
                }
            }
            deployment.startEntries();
            Thread traffic = CrashingPartCase.sendBeside(clients, CrashingPartCase.SHARED_PART, PER_SECOND);
            Thread.sleep(SECONDS * 1_000L);
            traffic.interrupt();
            Thread.sleep(2_500);
            List<Clients.Call> broken = clients.calls(call -> call.served() && !isWhole(call.answer().body()));
            broken.forEach(call -> recorder.line(
                    "broken", call.id() + " looks complete, and ends with "
                            + call.answer().body().substring(call.answer().body().length() - 20).replace("\n", "|")));
            recorder.note("streams: " + clients.calls().size() + ", served whole: "
                    + clients.calls(call -> call.served() && isWhole(call.answer().body())).size()
                    + ", complete for their clients before the last piece: " + broken.size());
            return !broken.isEmpty();
        }
    }

    private static boolean isWhole(String body) {
        return body.endsWith("id: " + EVENTS + "\ndata: token " + EVENTS + "\n\n");
    }
}
