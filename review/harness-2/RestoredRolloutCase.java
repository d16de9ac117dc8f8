import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** EXPOSURE: after the store has come back from a copy, an order at an offset that was given out before is ignored. */
final class RestoredRolloutCase implements Review.Case {
    private static final int ROLLOUT_SECONDS = 20;
    private static final int CONFIGURATIONS = 3;
    private static final double PER_SECOND = 25.6;
    private static final long AWAY_MILLIS = 1_000;
    private static final int UNTIL_DRAIN_MILLIS = 2_000;
    private static final int DRAIN_MILLIS = 2_500;

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        AtomicInteger atBadVersion = new AtomicInteger();
        double[] deadline = {Double.MAX_VALUE};
        Worker.Listener counting = (worker, request) -> {
            if (recorder.seconds() <= deadline[0]) {
                atBadVersion.incrementAndGet();
            }
        };
        Worker.Listener ignored = (worker, request) -> {};
        Worker.Kind v1 = new Worker.Kind(Deployment.PLAIN_SERVICE, "v1", 6, 43, 0, false);
        Worker.Kind v2 = new Worker.Kind(Deployment.PLAIN_SERVICE, "v2", 6, 43, 5, false);
        Worker.Kind v3 = new Worker.Kind(Deployment.PLAIN_SERVICE, "v3", 6, 43, 2, false);
        try (Deployment deployment = new Deployment(root, recorder, Deployment.Site.SILVERBEND_OPS, 3);
                Clients clients = new Clients(deployment, 8)) {
            for (int i = 0; i < 3; i++) {
                deployment.addWorker(v1, i, ignored, Set.of(), 0);
            }
            deployment.startEntries();
            Thread traffic = clients.sendPlainBeside(PER_SECOND);
            Thread.sleep(4_000);

            // The copy is taken here. Then the configuration changes a few times, and a bad version is ordered.
            deployment.store.takeCopy();
            recorder.note("the copy is taken");
            for (int i = 0; i < CONFIGURATIONS; i++) {
                deployment.putConfiguration(1_000 + 10 * i);
                Thread.sleep(300);
            }
            deployment.orderRollout(Deployment.PLAIN_SERVICE, "v2", ROLLOUT_SECONDS);
            List<Worker> second = addAll(deployment, v2, 3, ignored);
            String state = deployment.awaitEnd(Deployment.PLAIN_SERVICE, "v2", 8);
            if (!state.equals("reverted")) {
                throw new IllegalStateException("expected the bad version v2 to be reverted, found " + state);
            }
            // At reverted, the new workers drain some seconds later.
            second.forEach(worker -> worker.drainLater(UNTIL_DRAIN_MILLIS, DRAIN_MILLIS));
            Thread.sleep(UNTIL_DRAIN_MILLIS + 500);

            if (trouble) {
                deployment.store.leave();
                recorder.note("the store is away");
                Thread.sleep(AWAY_MILLIS);
                deployment.store.returnFromCopy();
                recorder.note("the store is back from the copy");
                // What the operator and the workers wrote is written again.
                recorder.line("operator", "configuration again at offset " + deployment.writeConfiguration());
                deployment.orderRollout(Deployment.PLAIN_SERVICE, "v2", ROLLOUT_SECONDS);
                deployment.workers.forEach(Worker::writeAgain);
            } else {
                Thread.sleep(AWAY_MILLIS);
            }
            Thread.sleep(12_000);

            // Nothing was disturbed for longer than contact_ms, so all machines are in touch from here on.
            double ordered = recorder.seconds();
            deadline[0] = ordered + ROLLOUT_SECONDS;
            deployment.orderRollout(Deployment.PLAIN_SERVICE, "v3", ROLLOUT_SECONDS);
            List<Worker> third = addAll(deployment, v3, 6, counting);
            String end = deployment.awaitEnd(Deployment.PLAIN_SERVICE, "v3", ROLLOUT_SECONDS);
            if (!end.isEmpty()) {
                third.forEach(worker -> worker.drainLater(UNTIL_DRAIN_MILLIS, DRAIN_MILLIS));
                Thread.sleep(Math.max(0, (long) ((ordered + ROLLOUT_SECONDS - recorder.seconds()) * 1_000)));
            }
            traffic.interrupt();
            Thread.sleep(1_500);
            long all = clients.calls(call -> call.sentAtSeconds() >= ordered && call.sentAtSeconds() <= deadline[0])
                    .size();
            double allowed = Deployment.EXPOSURE_FRACTION * all + Deployment.EXPOSURE_TOLERANCE;
            recorder.note(String.format(
                    "stated for v3: \"%s\"; requests between the order and its deadline: %d; at v3: %d; allowed: %.1f",
                    end, all, atBadVersion.get(), allowed));
            return atBadVersion.get() > allowed;
        }
    }

    private static List<Worker> addAll(Deployment deployment, Worker.Kind kind, int first, Worker.Listener listener)
            throws Exception {
        List<Worker> added = new java.util.ArrayList<>();
        for (int i = first; i < first + 3; i++) {
            added.add(deployment.addWorker(kind, i, listener, Set.of(), 0));
        }
        return added;
    }
}
