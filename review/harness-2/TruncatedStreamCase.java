import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** ORDER: a stream that a faulty worker ends inside an event reaches its client as a complete one. */
final class TruncatedStreamCase implements Review.Case {
    private static final int WORKERS = 6;
    private static final int OUTPUT_TOKENS = 80;
    private static final int EVENTS = OUTPUT_TOKENS / 4;
    private static final int TRUNCATED_INTERVAL = 20;
    private static final int PERIODS = 6;
    private static final long FAULTY_MILLIS = 5_000;
    private static final long SOUND_MILLIS = 3_000;
    private static final double PER_SECOND = 5.82;

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        Worker.Kind engine = new Worker.Kind(Deployment.MODEL_SERVICE, "v1", 64, 0, 0, true);
        try (Deployment deployment = new Deployment(root, recorder, Deployment.Site.SILVERBEND_OPS, 3);
                Clients clients = new Clients(deployment, 11)) {
            for (int i = 0; i < WORKERS; i++) {
                deployment.addWorker(engine, i, (running, request) -> {}, Set.of(), 0);
            }
            List<Worker> faulty = trouble ? deployment.workers.subList(0, WORKERS / 2) : List.of();
            deployment.startEntries();
            Thread traffic = CrashingPartCase.sendBeside(clients, CrashingPartCase.SHARED_PART, PER_SECOND);
            for (int period = 0; period < PERIODS; period++) {
                Thread.sleep(SOUND_MILLIS);
                faulty.forEach(worker -> worker.truncateOneOf(TRUNCATED_INTERVAL));
                Thread.sleep(FAULTY_MILLIS);
                faulty.forEach(worker -> worker.truncateOneOf(0));
            }
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
